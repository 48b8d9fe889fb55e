import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;

/** The file record.txt of a case: what was sent, answered and run, with the seconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static void open(String file) {
        try {
            out = new PrintWriter(file, "UTF-8");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static double seconds() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void write(String format, Object... args) {
        if (out == null) return;
        out.printf("%8.3f  %s%n", seconds(), args.length == 0 ? format : String.format(format, args));
        out.flush();
    }

    /** Writes the line to the record and to standard output. */
    static void say(String format, Object... args) {
        String text = args.length == 0 ? format : String.format(format, args);
        write("%s", text);
        System.out.println(text);
    }
}
