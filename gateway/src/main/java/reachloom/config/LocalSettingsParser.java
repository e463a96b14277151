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
 * Reads the settings file: XML checked against {@code reachloom.xsd}, which also gives the
 * defaults. Document type declarations, and with them entities from elsewhere, are refused: a
 * settings file has no use for them.
 */
final class LocalSettingsParser extends DefaultHandler {
  private static final long MILLISECOND = 1_000_000; // nanoseconds
  private static final long MAX_BYTES = 1 << 20;

  private record Element(
      String name, int line, Map<String, String> values, List<Element> children) {
    List<Element> all(String child) {
      return children.stream().filter(c -> c.name.equals(child)).toList();
    }
  }

  private final Path file;
  private final Deque<Element> open = new ArrayDeque<>();
  private Element root;
  private Locator locator;
  private SAXParseException fault;

  private LocalSettingsParser(Path file) {
    this.file = file;
  }

  /** The settings in that file, or what is wrong with them: file, line and element. */
  static LocalSettings read(Path file) throws ConfigException {
    byte[] text;
    try {
      if (Files.size(file) > MAX_BYTES) {
        throw new ConfigException(file + ": is larger than " + MAX_BYTES + " bytes");
      }
      text = Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ConfigException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
    }
    LocalSettingsParser reader = new LocalSettingsParser(file);
    try {
      parser().parse(new InputSource(new ByteArrayInputStream(text)), reader);
      if (reader.fault != null) {
        throw reader.fault;
      }
    } catch (SAXParseException e) {
      throw new ConfigException(file + ":" + e.getLineNumber() + ": " + reason(e));
    } catch (SAXException | IOException | ParserConfigurationException e) {
      throw new ConfigException(file + ": cannot be read: " + e.getMessage());
    }
    return reader.settings();
  }

  private static SAXParser parser() throws SAXException, ParserConfigurationException {
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

  /** The validator's words without its own numbers of rules. */
  private static String reason(SAXParseException e) {
    return e.getMessage()
        .replaceFirst("^cvc-[\\w.-]+: ", "")
        .replaceAll("\"urn:reachloom:settings:1\":", "");
  }

  // ---- What the parser tells ----

  @Override
  public void setDocumentLocator(Locator l) {
    locator = l;
  }

  @Override
  public void startElement(String uri, String name, String prefixed, Attributes attributes) {
    Map<String, String> values = new LinkedHashMap<>();
    for (int i = 0; i < attributes.getLength(); i++) {
      values.put(attributes.getLocalName(i), attributes.getValue(i));
    }
    Element e = new Element(name, locator.getLineNumber(), values, new ArrayList<>());
    if (open.isEmpty()) {
      root = e;
    } else {
      open.peek().children.add(e);
    }
    open.push(e);
  }

  @Override
  public void endElement(String uri, String name, String prefixed) {
    open.pop();
  }

  /**
   * A value is told of twice: first what is wrong with it, then which attribute of which element it
   * is.
   */
  @Override
  public void error(SAXParseException e) {
    boolean named =
        fault != null
            && e.getMessage().startsWith("cvc-attribute")
            && !fault.getMessage().startsWith("cvc-attribute")
            && e.getLineNumber() == fault.getLineNumber();
    fault = fault == null || named ? e : fault;
  }

  @Override
  public void fatalError(SAXParseException e) throws SAXException {
    throw e;
  }

  // ---- What it means ----

  private LocalSettings settings() throws ConfigException {
    Optional<GossipSettings> gossip = Optional.empty();
    for (Element e : root.all("gossip")) {
      if (Boolean.parseBoolean(e.values.get("enabled")) || e.values.get("enabled").equals("1")) {
        gossip = Optional.of(gossip(e));
      }
    }
    OptionalLong idle = OptionalLong.empty();
    for (Element e : root.all("clients")) {
      idle = OptionalLong.of(Long.parseLong(e.values.get("idleTimeoutMs")) * MILLISECOND);
    }
    return new LocalSettings(gossip, idle);
  }

  private GossipSettings gossip(Element e) throws ConfigException {
    Element identity = e.all("identity").get(0);
    List<Path> authorities = new ArrayList<>();
    e.all("authority").forEach(a -> authorities.add(path(a, "file")));
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (Element seed : e.all("seed")) {
      seeds.add(address(seed, "address"));
    }
    List<Element> revoked = e.all("revoked");
    return new GossipSettings(
        e.values.get("cluster"),
        address(e, "listen"),
        Integer.parseInt(e.values.get("bytesPerSecond")),
        Long.parseLong(e.values.get("periodMs")) * MILLISECOND,
        path(identity, "key"),
        path(identity, "certificate"),
        List.copyOf(authorities),
        revoked.isEmpty() ? null : path(revoked.get(0), "file"),
        List.copyOf(seeds),
        configuration(e));
  }

  private Optional<ConfigurationSettings> configuration(Element gossip) throws ConfigException {
    List<Element> found = gossip.all("configuration");
    if (found.isEmpty()) {
      return Optional.empty();
    }
    Element e = found.get(0);
    Set<String> names = new LinkedHashSet<>();
    List<Issuer> issuers = new ArrayList<>();
    for (Element i : e.all("issuer")) {
      if (!names.add(i.values.get("name"))) {
        throw new ConfigException(
            file
                + ":"
                + i.line
                + ": issuer: name: '"
                + i.values.get("name")
                + "' stands here twice");
      }
      issuers.add(new Issuer(i.values.get("name"), address(i, "address"), path(i, "certificate")));
    }
    int region = Integer.parseInt(e.values.get("region"));
    int zone = Integer.parseInt(e.values.get("zone"));
    return Optional.of(new ConfigurationSettings(region << Byte.SIZE | zone, List.copyOf(issuers)));
  }

  private Path path(Element e, String key) {
    return file.toAbsolutePath().resolveSibling(e.values.get(key)).normalize();
  }

  private InetSocketAddress address(Element e, String key) throws ConfigException {
    return GatewayConfig.address(
        e.values.get(key), file + ":" + e.line + ": " + e.name + ": " + key);
  }
}
