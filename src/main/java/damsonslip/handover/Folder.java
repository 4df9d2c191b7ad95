package damsonslip.handover;

import damsonslip.kin.Kin;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

/**
 * The folder itself. A mark is a file whose name holds the process's number; its holder keeps a lock on it for as long
 * as it lives, however it ends, which no file's mere presence and no process id could tell. It holds {@code starting},
 * then {@code serving}. A process never opens its own mark a second time: closing it would give up the lock.
 */
public final class Folder {
    private static final String MARK = "damsonslip-mark-";
    private static final String BANS = "damsonslip-bans";
    private static final String GUARD = "damsonslip-guard";
    private static final String SERVING = "serving ";
    private static final String STARTING = "starting";
    /** Tries for the guard, which others hold for the moment that a small file takes, with a pause between them. */
    private static final int TRIES = 25;
    private static final long PAUSE_MS = 2;

    /** Something that is done while no other process changes the folder. */
    public interface Task {
        void run() throws IOException;
    }

    private final Path path;
    private final int number;
    private final FileChannel mark;
    /** What the bans' file looked like when it was read or written last. */
    private Object seen;

    /** Takes the next number; what dead processes have left goes. */
    public Folder(Path path) throws IOException {
        this.path = path;
        List<Integer> numbers = new ArrayList<>();
        FileChannel[] made = new FileChannel[1];
        int[] mine = new int[1];
        guarded(() -> {
            for (Path other : marks()) {
                if (state(other) == null) {
                    Files.deleteIfExists(other);
                } else {
                    numbers.add(number(other));
                }
            }
            mine[0] = 1 + numbers.stream().mapToInt(Integer::intValue).max().orElse(0);
            // its lock comes before its name, under which others look for it and would hold the lock for that moment
            Path unnamed = path.resolve(MARK + "new");
            made[0] = FileChannel.open(unnamed, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (made[0].tryLock() == null) {
                throw new IOException("the mark of this process is held by another");
            }
            Files.move(unnamed, mark(mine[0]), StandardCopyOption.ATOMIC_MOVE);
        });
        number = mine[0];
        mark = made[0];
        say(STARTING);
    }

    /** From now on the others see that this one serves. */
    public void serving() throws IOException {
        say(SERVING);
    }

    private void say(String state) throws IOException { // both words are as long, so that one overwrites the other
        mark.write(ByteBuffer.wrap(state.getBytes(StandardCharsets.US_ASCII)), 0);
    }

    /** How this process stands now. */
    public Kin kin() throws IOException {
        List<Kin.Other> others = new ArrayList<>();
        for (Path other : marks()) {
            String state = number(other) == number ? null : state(other);
            if (state != null) {
                others.add(new Kin.Other(number(other), state.equals(SERVING)));
            }
        }
        return Kin.of(number, others);
    }

    /** What a mark says, or null if its holder is dead. */
    private String state(Path other) throws IOException {
        try (FileChannel channel = FileChannel.open(other, StandardOpenOption.READ, StandardOpenOption.WRITE);
             FileLock taken = channel.tryLock()) {
            if (taken != null) {
                return null;
            }
            ByteBuffer bytes = ByteBuffer.allocate(SERVING.length());
            channel.read(bytes, 0);
            return new String(bytes.array(), StandardCharsets.US_ASCII);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    private List<Path> marks() throws IOException {
        List<Path> marks = new ArrayList<>();
        try (DirectoryStream<Path> found = Files.newDirectoryStream(path, MARK + "*")) {
            for (Path mark : found) {
                if (mark.getFileName().toString().substring(MARK.length()).matches("[0-9]{1,8}")) {
                    marks.add(mark);
                }
            }
        }
        return marks;
    }

    private static int number(Path mark) {
        return Integer.parseInt(mark.getFileName().toString().substring(MARK.length()));
    }

    private Path mark(int of) {
        return path.resolve(MARK + of);
    }

    /** The bans as another process has kept them since the last look; null if there is nothing new. */
    public String news() throws IOException {
        Path file = path.resolve(BANS);
        Object now = look(file);
        if (now == null || now.equals(seen)) {
            return null;
        }
        seen = now;
        return Files.readString(file);
    }

    /** Keeps bans: whole or not at all, whenever the process or the machine ends. */
    public void keep(String bans) throws IOException {
        Path whole = path.resolve(BANS);
        Path part = path.resolve(BANS + ".part");
        Files.writeString(part, bans);
        Files.move(part, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        seen = look(whole);
    }

    private static Object look(Path file) throws IOException {
        try {
            BasicFileAttributes found = Files.readAttributes(file, BasicFileAttributes.class);
            FileTime changed = found.lastModifiedTime();
            return List.of(changed, found.size(), String.valueOf(found.fileKey()));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Does something while no other process does such a thing. */
    public void guarded(Task task) throws IOException {
        try (FileChannel channel = FileChannel.open(path.resolve(GUARD), StandardOpenOption.CREATE,
                 StandardOpenOption.WRITE); FileLock lock = locked(channel)) {
            if (lock == null) {
                throw new IOException("another process is busy with " + GUARD);
            }
            task.run();
        }
    }

    private static FileLock locked(FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        for (int i = 0; lock == null && i < TRIES; i++) {
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            lock = channel.tryLock();
        }
        return lock;
    }

    /** This process ends. */
    public void close() throws IOException {
        Files.deleteIfExists(mark(number));
        mark.close();
    }
}
