package reachloom.config;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParser;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;
import reachloom.config.ConfigurationSettings.Issuer;

/**
 * Reads the settings file: XML that is validated against {@code reachloom.xsd}, which also gives
 * the defaults. Document type declarations, and with them external entities, are rejected, since no
 * settings file needs them.
 */
final class LocalSettingsParser extends DefaultHandler {
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long MAX_FILE_BYTES = 1 << 20;

  /** An element with its attributes, including the defaults that the schema has added. */
  private record Element(
      String name, int line, Map<String, String> attributes, List<Element> children) {
    List<Element> children(String childName) {
      return children.stream().filter(child -> child.name.equals(childName)).toList();
    }

    String attribute(String attributeName) {
      return attributes.get(attributeName);
    }

    int intAttribute(String attributeName) {
      return Integer.parseInt(attribute(attributeName));
    }

    long nanosAttribute(String millisecondsName) {
      return Long.parseLong(attribute(millisecondsName)) * NANOS_PER_MILLISECOND;
    }

    boolean isEnabled() {
      return Boolean.parseBoolean(attribute("enabled")) || attribute("enabled").equals("1");
    }
  }

  private final Path file;
  private final Deque<Element> openElements = new ArrayDeque<>();
  private Element root;
  private Locator locator;

  /** The first fault that the validator found; null if there is none. */
  private SAXParseException fault;

  private LocalSettingsParser(Path file) {
    this.file = file;
  }

  /**
   * Reads a settings file.
   *
   * @throws ConfigException if the file cannot be read or is invalid; the message names the file,
   *     and line and element if the content is invalid
   */
  static LocalSettings read(Path file) throws ConfigException {
    byte[] text = readBytes(file);
    LocalSettingsParser parser = new LocalSettingsParser(file);
    try {
      saxParser().parse(new InputSource(new ByteArrayInputStream(text)), parser);
      if (parser.fault != null) {
        throw parser.fault;
      }
    } catch (SAXParseException e) {
      throw new ConfigException(file + ":" + e.getLineNumber(), reason(e));
    } catch (SAXException | IOException | ParserConfigurationException e) {
      throw new ConfigException(file.toString(), "cannot be read: " + e.getMessage());
    }
    return parser.settings();
  }

  private static byte[] readBytes(Path file) throws ConfigException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new ConfigException(file.toString(), "is larger than " + MAX_FILE_BYTES + " bytes");
      }
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ConfigException(
          file.toString(), "cannot be read (" + e.getClass().getSimpleName() + ")");
    }
  }

  private static SAXParser saxParser() throws SAXException, ParserConfigurationException {
    SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
    schemas.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
    URL schema = LocalSettingsParser.class.getResource("reachloom.xsd");
    SAXParserFactory parsers = SAXParserFactory.newInstance();
    parsers.setNamespaceAware(true);
    parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
    parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
    parsers.setFeature("http://xml.org/sax/features/external-general-entities", false);
    parsers.setFeature("http://xml.org/sax/features/external-parameter-entities", false);
    parsers.setSchema(schemas.newSchema(schema));
    return parsers.newSAXParser();
  }

  /** Returns the validator's message without the identifiers of schema rules and the namespace. */
  private static String reason(SAXParseException e) {
    return e.getMessage()
        .replaceFirst("^cvc-[\\w.-]+: ", "")
        .replaceAll("\"urn:reachloom:settings:1\":", "");
  }

  // ---- SAX events ----

  @Override
  public void setDocumentLocator(Locator documentLocator) {
    locator = documentLocator;
  }

  @Override
  public void startElement(
      String uri, String localName, String qualifiedName, Attributes attributes) {
    Map<String, String> values = new LinkedHashMap<>();
    for (int i = 0; i < attributes.getLength(); i++) {
      values.put(attributes.getLocalName(i), attributes.getValue(i));
    }
    Element element = new Element(localName, locator.getLineNumber(), values, new ArrayList<>());
    if (openElements.isEmpty()) {
      root = element;
    } else {
      openElements.peek().children.add(element);
    }
    openElements.push(element);
  }

  @Override
  public void endElement(String uri, String localName, String qualifiedName) {
    openElements.pop();
  }

  /**
   * Records the first fault. The validator reports an invalid attribute value twice: first the
   * violated restriction of the value, then the attribute and its element. The second report is the
   * one that is kept.
   */
  @Override
  public void error(SAXParseException e) {
    boolean reportsSameFault =
        fault != null
            && e.getMessage().startsWith("cvc-attribute")
            && !fault.getMessage().startsWith("cvc-attribute")
            && e.getLineNumber() == fault.getLineNumber();
    fault = fault == null || reportsSameFault ? e : fault;
  }

  @Override
  public void fatalError(SAXParseException e) throws SAXException {
    throw e;
  }

  // ---- Conversion of elements to settings ----

  private LocalSettings settings() throws ConfigException {
    Optional<GossipSettings> gossip = Optional.empty();
    for (Element element : root.children("gossip")) {
      if (element.isEnabled()) {
        gossip = Optional.of(gossip(element));
      }
    }
    OptionalLong clientIdleTimeoutNanos = OptionalLong.empty();
    for (Element element : root.children("clients")) {
      clientIdleTimeoutNanos = OptionalLong.of(element.nanosAttribute("idleTimeoutMs"));
    }
    return new LocalSettings(gossip, clientIdleTimeoutNanos);
  }

  private GossipSettings gossip(Element element) throws ConfigException {
    Element identity = element.children("identity").get(0);
    List<Path> authorities = new ArrayList<>();
    element.children("authority").forEach(authority -> authorities.add(path(authority, "file")));
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (Element seed : element.children("seed")) {
      seeds.add(address(seed, "address"));
    }
    List<Element> revoked = element.children("revoked");
    return new GossipSettings(
        element.attribute("cluster"),
        address(element, "listen"),
        element.intAttribute("bytesPerSecond"),
        element.nanosAttribute("periodMs"),
        path(identity, "key"),
        path(identity, "certificate"),
        List.copyOf(authorities),
        revoked.isEmpty() ? null : path(revoked.get(0), "file"),
        List.copyOf(seeds),
        configuration(element));
  }

  private Optional<ConfigurationSettings> configuration(Element gossip) throws ConfigException {
    List<Element> found = gossip.children("configuration");
    if (found.isEmpty()) {
      return Optional.empty();
    }
    Element element = found.get(0);
    Set<String> names = new LinkedHashSet<>();
    List<Issuer> issuers = new ArrayList<>();
    for (Element issuer : element.children("issuer")) {
      String name = issuer.attribute("name");
      if (!names.add(name)) {
        throw new ConfigException(
            file + ":" + issuer.line + ": issuer: name", "'" + name + "' stands here twice");
      }
      issuers.add(new Issuer(name, address(issuer, "address"), path(issuer, "certificate")));
    }
    int place = element.intAttribute("region") << Byte.SIZE | element.intAttribute("zone");
    return Optional.of(new ConfigurationSettings(place, List.copyOf(issuers)));
  }

  /** Resolves a path relative to the folder of the settings file. */
  private Path path(Element element, String attribute) {
    return file.toAbsolutePath().resolveSibling(element.attribute(attribute)).normalize();
  }

  private InetSocketAddress address(Element element, String attribute) throws ConfigException {
    return GatewayConfigParser.address(
        element.attribute(attribute),
        file + ":" + element.line + ": " + element.name + ": " + attribute);
  }
}
