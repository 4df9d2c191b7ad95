package damsonslip.tools.lab.soak;

/** Error numbers of Linux that the fault library uses. */
public enum Errno {
    EINTR(4),
    EIO(5),
    EAGAIN(11),
    ENOMEM(12),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPROTO(71),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ENOBUFS(105),
    ETIMEDOUT(110),
    ECONNREFUSED(111);

    private final int number;

    Errno(int number) {
        this.number = number;
    }

    /** The number as the system gives it. */
    public int number() {
        return number;
    }
}
