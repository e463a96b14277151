package reachloom.gateway.wire;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the group of tables that a statement reads or writes: the number after the last underscore
 * in the name of a schema. Strings and comments are skipped. A name after a keyword that introduces
 * tables takes precedence over other names, since an alias may look like a schema.
 */
public final class TableGroup {
  /** The result for a statement that names no group. */
  public static final int NONE = -1;

  /** Keywords that a table name follows. */
  private static final Set<String> TABLE_KEYWORDS =
      Set.of(
          "from", "join", "into", "update", "table", "using", "copy", "truncate", "only", "view");

  /** Keywords that a list of tables follows. */
  private static final Set<String> TABLE_LIST_KEYWORDS =
      Set.of("from", "using", "table", "truncate", "only");

  /** Keywords that begin a subquery. */
  private static final Set<String> QUERY_KEYWORDS =
      Set.of("select", "with", "insert", "update", "delete", "merge", "values");

  /**
   * Keywords that are no function names: a bracket after them is no argument list. Those that do
   * not introduce a table, except AS, also end a list of tables.
   */
  private static final Set<String> NON_FUNCTION_KEYWORDS =
      Set.of(
          "from",
          "join",
          "into",
          "in",
          "exists",
          "as",
          "any",
          "all",
          "some",
          "union",
          "except",
          "intersect",
          "and",
          "or",
          "not",
          "select",
          "where",
          "on",
          "using",
          "values",
          "when",
          "then",
          "else",
          "case",
          "lateral",
          "by",
          "having",
          "returning");

  private static final String STAGING = "staging";
  private static final int MAX_DIGITS = 9;
  private static final int MAX_NESTING = 256;

  private final byte[] text;
  private final int end;
  private int position;
  private int fallback = NONE;

  private TableGroup(Bytes statement) {
    text = statement.array();
    position = statement.from();
    end = statement.from() + statement.length();
  }

  /** Returns the group of a statement, or {@link #NONE}. */
  public static int of(Bytes statement) {
    return new TableGroup(statement).find();
  }

  private int find() {
    // For each open bracket, whether it is the argument list of a function, where FROM introduces
    // no table.
    Deque<Boolean> functions = new ArrayDeque<>();
    boolean inList = false; // within a list of tables, where a comma precedes the next one
    boolean expectsTable = false; // the next name is that of a table
    // The previous word in lower case, "name" for a quoted or dotted name, empty after punctuation;
    // strings, numbers and comments do not change it.
    String previous = "";
    while (skipToToken()) {
      char c = (char) text[position];
      if (isPart(c)) {
        boolean bare = isNameStart(c);
        List<String> parts = name();
        String word = bare && parts.size() == 1 ? parts.get(0).toLowerCase(Locale.ROOT) : "";
        if (QUERY_KEYWORDS.contains(word) && !functions.isEmpty() && functions.peek()) {
          functions.pop();
          functions.push(false);
        }
        boolean inFunction = !functions.isEmpty() && functions.peek();
        if (TABLE_KEYWORDS.contains(word) && !inFunction) {
          expectsTable = true;
          inList = TABLE_LIST_KEYWORDS.contains(word);
        } else if (word.isEmpty() || expectsTable) {
          int group = group(parts);
          if (expectsTable && group != NONE) {
            return group;
          }
          fallback = fallback == NONE ? group : fallback;
          expectsTable = expectsTable && Set.of("if", "not", "exists", "lateral").contains(word);
        } else if (!word.equals("as") && NON_FUNCTION_KEYWORDS.contains(word)) {
          inList = false;
        }
        previous = word.isEmpty() ? "name" : word;
        continue;
      }
      if (c == '(') {
        boolean function =
            !previous.isEmpty()
                && !NON_FUNCTION_KEYWORDS.contains(previous)
                && !TABLE_KEYWORDS.contains(previous)
                && !expectsTable;
        if (functions.size() >= MAX_NESTING) {
          return fallback;
        }
        functions.push(function);
      } else if (c == ')' && !functions.isEmpty()) {
        functions.pop();
      } else if (c == ',' && inList) {
        expectsTable = functions.isEmpty() || !functions.peek();
      }
      previous = "";
      position++;
    }
    return fallback;
  }

  /** Reads a name of one or more parts separated by dots; quotes are removed. */
  private List<String> name() {
    List<String> parts = new ArrayList<>();
    parts.add(part());
    while (position + 1 < end && text[position] == '.' && isPart((char) text[position + 1])) {
      position++;
      parts.add(part());
    }
    return parts;
  }

  private String part() {
    return isQuote((char) text[position]) ? quoted() : bare();
  }

  private String bare() {
    int from = position;
    while (position < end
        && (isNameStart((char) text[position])
            || isDigit((char) text[position])
            || text[position] == '$')) {
      position++;
    }
    return new Bytes(text, from, position - from).text();
  }

  private String quoted() {
    byte quote = text[position];
    int from = position + 1;
    skipQuoted(quote);
    return new Bytes(text, from, Math.max(0, position - 1 - from)).text();
  }

  /** Advances past the closing quote; a doubled quote is part of the text. */
  private void skipQuoted(byte quote) {
    position++;
    while (position < end) {
      if (text[position] != quote) {
        position++;
      } else if (position + 1 < end && text[position + 1] == quote) {
        position += 2;
      } else {
        position++;
        return;
      }
    }
  }

  /** Skips space, strings, comments and numbers; returns false at the end of the statement. */
  private boolean skipToToken() {
    while (position < end) {
      byte c = text[position];
      if (c == '\'') {
        skipQuoted(c);
      } else if (c == '-' && next('-')) {
        while (position < end && text[position] != '\n') {
          position++;
        }
      } else if (c == '/' && next('*')) {
        position += 2;
        while (position < end && !(text[position] == '*' && next('/'))) {
          position++;
        }
        position = Math.min(end, position + 2);
      } else if (isDigit((char) c)) {
        while (position < end
            && (isDigit((char) text[position])
                || isNameStart((char) text[position])
                || text[position] == '.')) {
          position++;
        }
      } else if (c <= ' ' && c >= 0) {
        position++;
      } else {
        return true;
      }
    }
    return false;
  }

  private boolean next(char c) {
    return position + 1 < end && text[position + 1] == c;
  }

  /**
   * Returns the number in the schema of a name, the part before the table; NONE if it has no valid
   * number.
   */
  private static int group(List<String> parts) {
    if (parts.size() < 2) {
      return NONE;
    }
    String schema = parts.get(parts.size() - 2);
    int underscore = schema.lastIndexOf('_');
    String digits = schema.substring(underscore + 1);
    if (underscore < 0 || digits.length() > MAX_DIGITS || schema.equalsIgnoreCase(STAGING)) {
      return NONE;
    }
    return (int) Numbers.parseNonNegative(digits, NONE);
  }

  private static boolean isPart(char c) {
    return isNameStart(c) || isQuote(c);
  }

  private static boolean isNameStart(char c) {
    return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c > '~';
  }

  private static boolean isQuote(char c) {
    return c == '"' || c == '`';
  }

  private static boolean isDigit(char c) {
    return c >= '0' && c <= '9';
  }
}
