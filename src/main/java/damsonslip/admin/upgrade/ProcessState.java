package damsonslip.admin.upgrade;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What a process has announced in its lock file. */
enum ProcessState {
    STARTING("starting"),
    SERVING("serving ");

    /** Length of each text; equal, so that one state overwrites the other completely. */
    static final int LENGTH = SERVING.text.length();

    private final String text;

    ProcessState(String text) {
        this.text = text;
    }

    /** Returns the content of a lock file in this state. */
    ByteBuffer encode() {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns the state that a lock file holds; one without content yet counts as starting. */
    static ProcessState decode(byte[] bytes) {
        String decoded = new String(bytes, StandardCharsets.US_ASCII);
        return decoded.equals(SERVING.text) ? SERVING : STARTING;
    }
}
