package org.aspenmoor.internal.dissemination;

/**
 * A message to send; it may be dropped if there is no link to the peer.
 *
 * @param peer the receiving process
 * @param message the message
 */
public record AddressedMessage(String peer, DisseminationMessage message) {}
