package damsonslip.tools.lab.soak;

/**
 * System calls that the fault library can make fail; the order is that of {@code enum call} in
 * faults.c.
 */
public enum SystemCall {
    ACCEPT,
    SOCKET,
    CONNECT,
    EPOLL_WAIT,
    SOCKET_READ,
    SOCKET_WRITE,
    FILE_OPEN,
    FILE_WRITE,
    FILE_SYNC,
    RENAME,
    FILE_READ_OPEN,
    EPOLL_CTL,
    THREAD_CREATE
}
