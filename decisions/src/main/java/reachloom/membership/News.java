package reachloom.membership;

/**
 * What one instance says of a member. {@code address} is an IPv4 address and a port in the lowest 48 bits;
 * {@code by} names who accuses, and is empty where nobody does.
 */
public record News(String member, long address, long incarnation, State state, String by) {
}
