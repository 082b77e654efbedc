package org.aspenmoor.internal.dissemination;

/**
 * A message on its way out; it may be dropped where no link to the peer is up.
 *
 * @param peer the process it is for
 * @param message the message
 */
public record AddressedMessage(String peer, DisseminationMessage message) {}
