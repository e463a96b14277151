package reachloom.lab.cluster;

/**
 * A command from a gateway to an engine.
 *
 * @param word the command's name
 * @param id the query's id or the probe's tag
 * @param rest the next word of the line; empty if there is none
 * @param statement the body of ASK; empty for other commands
 */
public record EngineCommand(String word, String id, String rest, String statement) {}
