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
 * Compares the failed tests of a run with KNOWN-RED.txt, which has one entry a line: what fails | cause | issue.
 *
 * What fails is either a test, named as in Surefire's reports, Class#name, or a script, named by its path in this repository.
 * Only listed tests may fail, at most three entries may be listed, and each must exist: a test must have been run, a script must
 * be an executable file. Scripts are not run here, and a listed script excuses no test.
 *
 * Usage, at the root of the repository: java .ci/KnownRed.java KNOWN-RED.txt target/surefire-reports
 */
public final class KnownRed {
    private static final int MAX_ENTRIES = 3;
    private static final int FIELDS = 3;

    /** One line of the list. */
    private record Entry(String line, String name) {
        boolean isScript() {
            return !name.contains("#");
        }
    }

    /** The tests of a run, by their names. */
    private record TestRun(Set<String> all, Set<String> failed) {}

    private final TestRun run;
    private final List<String> problems = new ArrayList<>();

    private KnownRed(TestRun run) {
        this.run = run;
    }

    public static void main(String[] args) throws Exception {
        KnownRed check = new KnownRed(readReports(new File(args[1])));
        check.check(readEntries(Path.of(args[0])));
        check.problems.forEach(problem -> System.out.println("KNOWN-RED: " + problem));
        System.exit(check.problems.isEmpty() ? 0 : 1);
    }

    private void check(List<Entry> entries) {
        if (entries.size() > MAX_ENTRIES) problems.add(entries.size() + " entries are listed, at most " + MAX_ENTRIES + " may be");
        Set<String> listed = new HashSet<>();
        for (Entry entry : entries) {
            checkForm(entry);
            if (!listed.add(entry.name())) problems.add("listed twice: " + entry.name());
            if (entry.isScript()) checkScript(entry);
            else checkTest(entry);
        }
        for (String test : run.failed()) if (!listed.contains(test)) problems.add("failed, and not listed: " + test);
    }

    /** Three fields, none of them empty: a line with several entries has more. */
    private void checkForm(Entry entry) {
        String[] fields = entry.line().split("\\|", -1);
        boolean hasEmptyField = List.of(fields).stream().anyMatch(String::isBlank);
        if (fields.length != FIELDS || hasEmptyField) problems.add("not one entry of the form what | cause | issue: " + entry.line());
    }

    private void checkTest(Entry entry) {
        if (!run.all().contains(entry.name())) problems.add("no such test was run: " + entry.name());
        System.out.println((run.failed().contains(entry.name()) ? "known red: " : "passes, take it off the list: ") + entry.line());
    }

    private void checkScript(Entry entry) {
        Path path = Path.of(entry.name()).normalize();
        boolean isInRepository = !path.isAbsolute() && !path.startsWith("..");
        if (!isInRepository || !Files.isRegularFile(path) || !Files.isExecutable(path)) problems.add("no such script: " + entry.name());
        System.out.println("known red, a script, not run here: " + entry.line());
    }

    private static List<Entry> readEntries(Path file) throws Exception {
        return Files.readAllLines(file).stream()
            .filter(line -> !line.isBlank())
            .map(line -> new Entry(line, line.split("\\|", 2)[0].trim()))
            .toList();
    }

    private static TestRun readReports(File directory) throws Exception {
        File[] reports = directory.listFiles((folder, name) -> name.startsWith("TEST-") && name.endsWith(".xml"));
        if (reports == null || reports.length == 0) throw new IllegalStateException("no reports in " + directory);
        DocumentBuilder builder = DocumentBuilderFactory.newInstance().newDocumentBuilder();
        TestRun run = new TestRun(new HashSet<>(), new TreeSet<>());
        for (File report : reports) {
            NodeList cases = builder.parse(report).getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) record((Element) cases.item(i), run);
        }
        return run;
    }

    private static void record(Element test, TestRun run) {
        String className = test.getAttribute("classname");
        String name = className.substring(className.lastIndexOf('.') + 1) + "#" + test.getAttribute("name");
        run.all().add(name);
        boolean hasFailed = test.getElementsByTagName("failure").getLength() + test.getElementsByTagName("error").getLength() > 0;
        if (hasFailed) run.failed().add(name);
    }
}
