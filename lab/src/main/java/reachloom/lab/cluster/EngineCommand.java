package reachloom.lab.cluster;

/**
 * What a gateway says to an engine: a word, an id or tag, what follows on the line, and the body of
 * ASK.
 */
public record EngineCommand(String word, String id, String rest, String statement) {}
