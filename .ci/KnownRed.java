import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Compares the failed tests of a run with those that KNOWN-RED.txt lists, one a line: test | cause | issue. The test is named as
 * in Surefire's reports, Class#name. Only listed tests may fail, at most three may be listed, and each must exist.
 *
 * Usage: java .ci/KnownRed.java KNOWN-RED.txt target/surefire-reports
 */
public final class KnownRed {
    private static final int MAX_LISTED = 3;

    private KnownRed() {}

    public static void main(String[] args) throws Exception {
        Set<String> all = new HashSet<>();
        Set<String> failed = new TreeSet<>();
        readReports(new File(args[1]), all, failed);
        List<String> lines = Files.readAllLines(Path.of(args[0])).stream().filter(line -> !line.isBlank()).toList();
        List<String> problems = new ArrayList<>();
        if (lines.size() > MAX_LISTED) problems.add(lines.size() + " tests are listed, at most " + MAX_LISTED + " may be");
        Set<String> listed = new TreeSet<>();
        for (String line : lines) {
            String[] parts = line.split("\\|", 3);
            String test = parts[0].trim();
            if (parts.length < 3) problems.add("not of the form test | cause | issue: " + line);
            if (!all.contains(test)) problems.add("no such test was run: " + test);
            System.out.println((failed.contains(test) ? "known red: " : "passes, take it off the list: ") + line);
            listed.add(test);
        }
        for (String test : failed) if (!listed.contains(test)) problems.add("failed, and not listed: " + test);
        problems.forEach(problem -> System.out.println("KNOWN-RED: " + problem));
        System.exit(problems.isEmpty() ? 0 : 1);
    }

    private static void readReports(File directory, Set<String> all, Set<String> failed) throws Exception {
        File[] reports = directory.listFiles((folder, name) -> name.startsWith("TEST-") && name.endsWith(".xml"));
        if (reports == null || reports.length == 0) throw new IllegalStateException("no reports in " + directory);
        DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        for (File report : reports) {
            NodeList cases = builder.parse(report).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element test = (Element) cases.item(i);
                String className = test.getAttribute("classname");
                String name = className.substring(className.lastIndexOf('.') + 1) + "#" + test.getAttribute("name");
                all.add(name);
                boolean bad = test.getElementsByTagName("failure").getLength() + test.getElementsByTagName("error").getLength() > 0;
                if (bad) failed.add(name);
            }
        }
    }
}
