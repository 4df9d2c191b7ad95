/*
 * Makes system calls of the process that preloads it fail, wait or run short, and steps its wall clock, on command.
 *
 * The command is a file named by DAMSONSLIP_FAULTS, which another process maps and writes; see FaultControl.java for its
 * layout. Without that variable, or with a file of zeros, every call passes unchanged. The monotonic clock is never
 * touched. Each call is counted, so that tests can tell a busy loop from a quiet one.
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

/* What is commanded for one system call; 40 bytes, in the order of FaultControl.java. */
struct fault {
    int32_t error;      /* errno to fail with, or 0 */
    int32_t every;      /* every so manieth call fails, 0 for none */
    int32_t hold_ms;    /* waits so long before the call */
    int32_t most_bytes; /* transfers so many bytes at the most, 0 for no bound */
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
/* The folder of the control file, with a slash behind it: only files there are refused to readers. */
static char folder[4096];

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
    if (slash != NULL && (size_t) (slash - path) + 2 < sizeof folder) {
        memcpy(folder, path, (size_t) (slash - path) + 1);
    }
    control = mapped == MAP_FAILED ? NULL : mapped;
}

/* Waits or fails as commanded; gives 0 where the call is to go on. */
static int refuse(enum call which) {
    if (control == NULL) {
        return 0;
    }
    struct fault *fault = &control->faults[which];
    int64_t number = atomic_fetch_add(&fault->calls, 1) + 1;
    if (fault->hold_ms > 0) {
        struct timespec time = { fault->hold_ms / 1000, (fault->hold_ms % 1000) * 1000000L };
        syscall(SYS_nanosleep, &time, NULL);
    }
    if (fault->error == 0 || fault->every <= 0 || number % fault->every != 0) {
        return 0;
    }
    atomic_fetch_add(&fault->failed, 1);
    errno = fault->error;
    return 1;
}

static size_t shorter(enum call which, size_t length) {
    int32_t most = control == NULL ? 0 : control->faults[which].most_bytes;
    return most > 0 && length > (size_t) most ? (size_t) most : length;
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
    return refuse(THREAD_CREATE) ? errno : real(thread, attributes, start, argument);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return refuse(ACCEPT) ? -1 : (int) syscall(SYS_accept4, fd, address, length, 0);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return refuse(ACCEPT) ? -1 : (int) syscall(SYS_accept4, fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    return refuse(SOCKET) ? -1 : (int) syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return refuse(CONNECT) ? -1 : (int) syscall(SYS_connect, fd, address, length);
}

int epoll_wait(int epfd, struct epoll_event *events, int most, int timeout) {
    return refuse(EPOLL_WAIT) ? -1 : (int) syscall(SYS_epoll_pwait, epfd, events, most, timeout, NULL, 8);
}

int epoll_ctl(int epfd, int operation, int fd, struct epoll_event *event) {
    if (operation != EPOLL_CTL_DEL && is_socket(fd) && refuse(EPOLL_CTL)) {
        return -1;
    }
    return (int) syscall(SYS_epoll_ctl, epfd, operation, fd, event);
}

ssize_t read(int fd, void *buffer, size_t length) {
    if (is_socket(fd)) {
        if (refuse(SOCKET_READ)) {
            return -1;
        }
        length = shorter(SOCKET_READ, length);
    }
    return syscall(SYS_read, fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    if (is_socket(fd)) {
        if (refuse(SOCKET_WRITE)) {
            return -1;
        }
        length = shorter(SOCKET_WRITE, length);
    } else if (is_file(fd)) {
        if (refuse(FILE_WRITE)) {
            return -1;
        }
        length = shorter(FILE_WRITE, length);
    }
    return syscall(SYS_write, fd, buffer, length);
}

ssize_t pwrite(int fd, const void *buffer, size_t length, off_t offset) {
    if (is_file(fd)) {
        if (refuse(FILE_WRITE)) {
            return -1;
        }
        length = shorter(FILE_WRITE, length);
    }
    return syscall(SYS_pwrite64, fd, buffer, length, offset);
}

ssize_t pwrite64(int fd, const void *buffer, size_t length, off_t offset) {
    return pwrite(fd, buffer, length, offset);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (is_socket(fd)) {
        if (refuse(SOCKET_WRITE)) {
            return -1;
        }
        if (control->faults[SOCKET_WRITE].most_bytes > 0 && count > 0) {
            return syscall(SYS_write, fd, parts[0].iov_base, shorter(SOCKET_WRITE, parts[0].iov_len));
        }
    }
    return syscall(SYS_writev, fd, parts, count);
}

/* Of opens to read, only those in the control file's folder are refused: a class that cannot be read is another trouble. */
static int refuse_open(const char *path, int flags) {
    if ((flags & (O_WRONLY | O_RDWR | O_CREAT)) != 0) {
        return refuse(FILE_OPEN);
    }
    return folder[0] != 0 && strncmp(path, folder, strlen(folder)) == 0 && refuse(FILE_READ_OPEN);
}

#define MODE(flags) \
    mode_t mode = 0; \
    if ((flags) & O_CREAT) { va_list more; va_start(more, flags); mode = va_arg(more, mode_t); va_end(more); }

int open(const char *path, int flags, ...) {
    MODE(flags)
    return refuse_open(path, flags) ? -1 : (int) syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    MODE(flags)
    return refuse_open(path, flags) ? -1 : (int) syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

int fsync(int fd) {
    return refuse(FILE_SYNC) ? -1 : (int) syscall(SYS_fsync, fd);
}

int fdatasync(int fd) {
    return refuse(FILE_SYNC) ? -1 : (int) syscall(SYS_fdatasync, fd);
}

int rename(const char *from, const char *to) {
    return refuse(RENAME) ? -1 : (int) syscall(SYS_renameat, AT_FDCWD, from, AT_FDCWD, to);
}

static void step(int64_t *seconds, int64_t *nanos) {
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
    static clock_gettime_function real; /* the C library's own, which asks no system call */
    if (real == NULL) {
        real = (clock_gettime_function) dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real != NULL ? real(clock, time) : (int) syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && is_wall_clock(clock)) {
        int64_t seconds = time->tv_sec;
        int64_t nanos = time->tv_nsec;
        step(&seconds, &nanos);
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

time_t time(time_t *to) {
    struct timespec now;
    if (clock_gettime(CLOCK_REALTIME, &now) != 0) {
        return -1;
    }
    if (to != NULL) {
        *to = now.tv_sec;
    }
    return now.tv_sec;
}
