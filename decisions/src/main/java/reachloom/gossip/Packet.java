package reachloom.gossip;

import java.util.List;
import reachloom.evidence.Claim;
import reachloom.membership.Message;
import reachloom.membership.News;

/**
 * What goes over the wire at once: who sends, where it listens (IPv4 and port in the lowest 48 bits) and in
 * which incarnation, one message, and what rides on it.
 */
public record Packet(String sender, long address, long incarnation, Message message, List<News> news,
    List<Claim> claims) {
}
