/*
 * Fault injection library for LD_PRELOAD: makes system calls of the process fail, block or transfer fewer bytes than
 * requested, and shifts its wall clock.
 *
 * It is controlled through a file named by DAMSONSLIP_FAULTS, which another process maps and writes; see
 * FaultControl.java for its layout. Without that variable, or with a file of zeros, every call passes unchanged. The
 * monotonic clock is never changed. Each call is counted, so that tests can detect a busy loop.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, EPOLL_WAIT, SOCKET_READ, SOCKET_WRITE, FILE_OPEN, FILE_WRITE, FILE_SYNC, RENAME, FILE_READ_OPEN, EPOLL_CTL, THREAD_CREATE, CALLS };

/* The fault to inject into one system call; 40 bytes, laid out as in FaultControl.java. */
struct fault {
    int32_t error;      /* errno to fail with, or 0 */
    int32_t every;      /* every n-th call fails; 0 if none does */
    int32_t delay_ms;   /* delay before each call */
    int32_t max_bytes;  /* maximum number of bytes per transfer; 0 for no limit */
    _Atomic int64_t calls;
    _Atomic int64_t failed;
    int64_t unused;
};

struct control {
    int64_t wall_offset_ns;
    int64_t unused;
    struct fault faults[CALLS];
};

static struct control *control;
/* The directory of the control file, with a trailing slash: opening to read fails only for files in it. */
static char directory[4096];

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("DAMSONSLIP_FAULTS");
    if (path == NULL) {
        return;
    }
    int fd = (int) syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC, 0);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    syscall(SYS_close, fd);
    const char *slash = strrchr(path, '/');
    if (slash != NULL && (size_t) (slash - path) + 2 < sizeof directory) {
        memcpy(directory, path, (size_t) (slash - path) + 1);
    }
    control = mapped == MAP_FAILED ? NULL : mapped;
}

/* Counts the call and injects the delay; returns 1, with errno set, if the call must fail, else 0. */
static int inject_fault(enum call which) {
    if (control == NULL) {
        return 0;
    }
    struct fault *fault = &control->faults[which];
    int64_t count = atomic_fetch_add(&fault->calls, 1) + 1;
    if (fault->delay_ms > 0) {
        struct timespec time = { fault->delay_ms / 1000, (fault->delay_ms % 1000) * 1000000L };
        syscall(SYS_nanosleep, &time, NULL);
    }
    if (fault->error == 0 || fault->every <= 0 || count % fault->every != 0) {
        return 0;
    }
    atomic_fetch_add(&fault->failed, 1);
    errno = fault->error;
    return 1;
}

static size_t limit_length(enum call which, size_t length) {
    int32_t max = control == NULL ? 0 : control->faults[which].max_bytes;
    return max > 0 && length > (size_t) max ? (size_t) max : length;
}

static int is_socket(int fd) {
    struct stat status;
    return control != NULL && fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_file(int fd) {
    struct stat status;
    return control != NULL && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

typedef int (*pthread_create_function)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument) {
    static pthread_create_function real;
    if (real == NULL) {
        real = (pthread_create_function) dlsym(RTLD_NEXT, "pthread_create");
    }
    return inject_fault(THREAD_CREATE) ? errno : real(thread, attributes, start, argument);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return inject_fault(ACCEPT) ? -1 : (int) syscall(SYS_accept4, fd, address, length, 0);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return inject_fault(ACCEPT) ? -1 : (int) syscall(SYS_accept4, fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return inject_fault(SOCKET) ? -1 : (int) syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return inject_fault(CONNECT) ? -1 : (int) syscall(SYS_connect, fd, address, length);
}

int epoll_wait(int epfd, struct epoll_event *events, int max, int timeout) {
    return inject_fault(EPOLL_WAIT) ? -1 : (int) syscall(SYS_epoll_pwait, epfd, events, max, timeout, NULL, 8);
}

int epoll_ctl(int epfd, int operation, int fd, struct epoll_event *event) {
    if (operation != EPOLL_CTL_DEL && is_socket(fd) && inject_fault(EPOLL_CTL)) {
        return -1;
    }
    return (int) syscall(SYS_epoll_ctl, epfd, operation, fd, event);
}

ssize_t read(int fd, void *buffer, size_t length) {
    if (is_socket(fd)) {
        if (inject_fault(SOCKET_READ)) {
            return -1;
        }
        length = limit_length(SOCKET_READ, length);
    }
    return syscall(SYS_read, fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (is_socket(fd)) {
        if (inject_fault(SOCKET_WRITE)) {
            return -1;
        }
        length = limit_length(SOCKET_WRITE, length);
    } else if (is_file(fd)) {
        if (inject_fault(FILE_WRITE)) {
            return -1;
        }
        length = limit_length(FILE_WRITE, length);
    }
    return syscall(SYS_write, fd, buffer, length);
}

ssize_t pwrite(int fd, const void *buffer, size_t length, off_t offset) {
    if (is_file(fd)) {
        if (inject_fault(FILE_WRITE)) {
            return -1;
        }
        length = limit_length(FILE_WRITE, length);
    }
    return syscall(SYS_pwrite64, fd, buffer, length, offset);
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off_t offset) {
    return pwrite(fd, buffer, length, offset);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (is_socket(fd)) {
        if (inject_fault(SOCKET_WRITE)) {
            return -1;
        }
        if (control->faults[SOCKET_WRITE].max_bytes > 0 && count > 0) {
            return syscall(SYS_write, fd, parts[0].iov_base, limit_length(SOCKET_WRITE, parts[0].iov_len));
        }
    }
    return syscall(SYS_writev, fd, parts, count);
}

/*
 * Opening to read fails only in the control file's directory: elsewhere it would keep the JVM from reading its classes,
 * which is a different fault.
 */
static int inject_open_fault(const char *path, int flags) {
    if ((flags & (O_WRONLY | O_RDWR | O_CREAT)) != 0) {
        return inject_fault(FILE_OPEN);
    }
    return directory[0] != 0 && strncmp(path, directory, strlen(directory)) == 0 && inject_fault(FILE_READ_OPEN);
}

#define MODE(flags) \
    mode_t mode = 0; \
    if ((flags) & O_CREAT) { va_list more; va_start(more, flags); mode = va_arg(more, mode_t); va_end(more); }

int open(const char *path, int flags, ...) {
    MODE(flags)
    return inject_open_fault(path, flags) ? -1 : (int) syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    MODE(flags)
    return inject_open_fault(path, flags) ? -1 : (int) syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int fsync(int fd) {
    return inject_fault(FILE_SYNC) ? -1 : (int) syscall(SYS_fsync, fd);
}

int fdatasync(int fd) {
    return inject_fault(FILE_SYNC) ? -1 : (int) syscall(SYS_fdatasync, fd);
}

int rename(const char *from, const char *to) {
    return inject_fault(RENAME) ? -1 : (int) syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to);
}

/* Adds the offset of the wall clock. */
static void add_wall_offset(int64_t *seconds, int64_t *nanos) {
    int64_t offset = control == NULL ? 0 : control->wall_offset_ns;
    int64_t sum = *nanos + offset % 1000000000;
    *seconds += offset / 1000000000;
    if (sum < 0) {
        sum += 1000000000;
        *seconds -= 1;
    } else if (sum >= 1000000000) {
        sum -= 1000000000;
        *seconds += 1;
    }
    *nanos = sum;
}

static int is_wall_clock(clockid_t clock) {
    return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
}

typedef int (*clock_gettime_function)(clockid_t, struct timespec *);

int clock_gettime(clockid_t clock, struct timespec *time) {
    static clock_gettime_function real; /* the C library's function, which needs no system call (vDSO) */
    if (real == NULL) {
        real = (clock_gettime_function) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real != NULL ? real(clock, time) : (int) syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && is_wall_clock(clock)) {
        int64_t seconds = time->tv_sec;
        int64_t nanos = time->tv_nsec;
        add_wall_offset(&seconds, &nanos);
        time->tv_sec = seconds;
        time->tv_nsec = nanos;
    }
    return result;
}

int gettimeofday(struct timeval *time, void *zone) {
    (void) zone;
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0) {
        return -1;
    }
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result) {
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0) {
        return -1;
    }
    if (result != NULL) {
        *result = now.tv_sec;
    }
    return now.tv_sec;
}
