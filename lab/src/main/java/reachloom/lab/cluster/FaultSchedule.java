package reachloom.lab.cluster;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.transform.stream.StreamSource;
import javax.xml.validation.SchemaFactory;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/** A script of faults, read from XML of the schema {@code script.xsd}. */
public record FaultSchedule(String name, List<Fault> faults) {
  /** Names of the scripts that are resources of the program. */
  public static final List<String> NAMED =
      List.of(
          "calm",
          "kill",
          "release",
          "zone",
          "sick",
          "idle-report",
          "restart",
          "stall",
          "list",
          "cut",
          "surge",
          "crowd",
          "steady",
          "regions-apart",
          "control-lost",
          "ordinary-day",
          "primary",
          "clocks",
          "calls");

  static final FaultSchedule NONE = new FaultSchedule("none", List.of());

  /** Thrown for an invalid script; the message names the line and what is wrong there. */
  public static final class InvalidScriptException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidScriptException(String message) {
      super(message);
    }
  }

  /** Returns the bundled script of a name, or reads the script in the file of that name. */
  public static FaultSchedule of(String nameOrFile) throws InvalidScriptException {
    if (NAMED.contains(nameOrFile)) {
      try (InputStream in =
          FaultSchedule.class.getResourceAsStream("script-" + nameOrFile + ".xml")) {
        return read(in, nameOrFile);
      } catch (IOException e) {
        throw new InvalidScriptException(nameOrFile + ": " + e.getMessage());
      }
    }
    Path file = Path.of(nameOrFile);
    if (!Files.isReadable(file)) {
      throw new InvalidScriptException(
          "'" + nameOrFile + "' is neither a file nor one of " + NAMED);
    }
    try (InputStream in = Files.newInputStream(file)) {
      return read(in, nameOrFile);
    } catch (IOException e) {
      throw new InvalidScriptException(
          nameOrFile + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  /** Reads a script; error messages use the given name. */
  public static FaultSchedule read(InputStream in, String name)
      throws IOException, InvalidScriptException {
    try (InputStream schema = FaultSchedule.class.getResourceAsStream("script.xsd")) {
      DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
      factory.setNamespaceAware(true);
      factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
      factory.setSchema(
          SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI)
              .newSchema(new StreamSource(schema)));
      var builder = factory.newDocumentBuilder();
      builder.setErrorHandler(new ThrowingErrorHandler());
      List<Fault> faults = new ArrayList<>();
      for (Node n = builder.parse(in).getDocumentElement().getFirstChild();
          n != null;
          n = n.getNextSibling()) {
        if (n instanceof Element e) {
          faults.add(fault(e, name));
        }
      }
      return new FaultSchedule(name, List.copyOf(faults));
    } catch (SAXParseException e) {
      throw new InvalidScriptException(
          name + ": line " + e.getLineNumber() + ": " + e.getMessage());
    } catch (SAXException | ParserConfigurationException e) {
      throw new InvalidScriptException(name + ": " + e.getMessage());
    }
  }

  private static Fault fault(Element e, String name) throws InvalidScriptException {
    Fault.Kind kind =
        Fault.Kind.valueOf(e.getAttribute("do").replace('-', '_').toUpperCase(Locale.ROOT));
    Fault.Who who = Fault.Who.valueOf(e.getLocalName().toUpperCase(Locale.ROOT));
    if (kind.who != who) {
      throw new InvalidScriptException(
          name + ": " + e.getLocalName() + ": nothing there can '" + e.getAttribute("do") + "'");
    }
    return new Fault(
        number(e, "at", 0),
        who,
        kind,
        number(e, "share", 1),
        (int) number(e, "zone", -1),
        (int) number(e, "far", -1),
        number(e, "by", 1),
        number(e, "for", 0),
        number(e, "within", 0));
  }

  private static double number(Element e, String key, double defaultValue) {
    return e.hasAttribute(key) ? Double.parseDouble(e.getAttribute(key)) : defaultValue;
  }

  /** Returns whether a fault of the script needs a whole installation. */
  public boolean ofInstallation() {
    return faults.stream().anyMatch(Fault::ofInstallation);
  }

  /** Returns whether the script steps wall clocks. */
  boolean stepsClocks() {
    return faults.stream().anyMatch(Fault::ofClocks);
  }

  /** Returns whether the script makes system calls fail. */
  boolean failsCalls() {
    return faults.stream().anyMatch(Fault::ofCalls);
  }

  /** Returns the time at which the last fault ends, in seconds. */
  double end() {
    return faults.stream().mapToDouble(t -> t.at() + t.lasts() + t.within()).max().orElse(0);
  }

  private static final class ThrowingErrorHandler implements ErrorHandler {
    @Override
    public void warning(SAXParseException e) {
      // warnings do not make a script invalid
    }

    @Override
    public void error(SAXParseException e) throws SAXParseException {
      throw e;
    }

    @Override
    public void fatalError(SAXParseException e) throws SAXParseException {
      throw e;
    }
  }
}
