package org.aspenmoor.internal.gateway.peers;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import org.aspenmoor.internal.gateway.standin.TestReports;
import org.aspenmoor.internal.serving.RoleChange;
import org.aspenmoor.internal.store.StoredObject;

/** Sends a report as if from another entry. */
public final class ReportSender {
    private ReportSender() {}

    /** Sends a report that an engine has been ordered to change its role to the entry with the given registration. */
    public static void sendRoleChange(StoredObject registration, RoleChange change) throws IOException {
        InetSocketAddress address =
                EntryRegistrationCodec.parse(registration).orElseThrow().address();
        byte[] report = PeerReportCodec.serialise(TestReports.of("another-entry", change));
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(report, report.length, address));
        }
    }
}
