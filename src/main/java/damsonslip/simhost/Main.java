package damsonslip.simhost;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;

/** The command line: {@code java -jar damsonslip.jar simhost}. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        InputStream in = new FileInputStream(FileDescriptor.in);
        System.exit(run(args, in, new FileOutputStream(FileDescriptor.out), System.err));
    }

    /** Runs the command and returns its exit code: 0 at the end of input, 1 on bad input, 2 on usage. */
    static int run(String[] args, InputStream in, OutputStream out, PrintStream err) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            err.println("usage: java -jar damsonslip.jar simhost");
            return 2;
        }
        try {
            new SimHost(in, out).run();
            return 0;
        } catch (BadInput | IOException e) {
            err.println("damsonslip: " + e.getMessage());
            return 1;
        }
    }
}
