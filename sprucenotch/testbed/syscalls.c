/* A library preloaded into a process under test that makes every n-th system call of a kind fail.
 *
 * SPRUCENOTCH_SYSCALLS names a file that the testbed maps too (syscalls.py has the same layout). A rule that is
 * switched on there applies from the next call on, in all processes that map the file. Calls on sockets and on
 * regular files are counted separately; calls on other descriptors (pipes, terminals, timers) never fail.
 *
 * `wall_offset` shifts the wall clock; the monotonic clock is not changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
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
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of syscalls.Call. */
enum call { ACCEPT, SOCKET, CONNECT, CONNECTED, READ, WRITE, SHUTDOWN, WAIT, OPEN, FILE_WRITE, SYNC, RENAME,
            DATAGRAM, LISTEN, BIND, EPOLL_CTL, CALLS };
#define SHORT (-1) /* as the error of a rule: the call transfers one byte */

struct rule {
    _Atomic uint32_t every; /* one of so many calls fails; 0: none */
    _Atomic int32_t error;
    _Atomic uint32_t calls, failed;
};

struct control {
    _Atomic int64_t wall_offset; /* nanoseconds */
    struct rule rules[CALLS];
};

static struct control *control;
/* The descriptor of the file in which disk operations are recorded (state_folders.py). Its calls never fail, since the
 * record would otherwise not match the disk. */
#define RECORD_SUFFIX ".operations"
static atomic_int record_fd = -1;
static int spare_stderr; /* writes to standard error never fail: the log is compared with what the servers saw */
/* Whether the process listens. Before that, reads of modules and epoll_ctl do not fail, since the interpreter and the
 * event loop library would end the process. */
static atomic_int listening;

__attribute__((constructor)) static void attach(void)
{
    spare_stderr = getenv("SPRUCENOTCH_SPARE_LOG") != NULL;
    const char *path = getenv("SPRUCENOTCH_SYSCALLS");
    if (path == NULL)
        return;
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped != MAP_FAILED)
        control = mapped;
    close(fd);
}

/* Returns 0 if the call may proceed, SHORT, or the error with which it must fail. */
static int failure(enum call kind)
{
    if (control == NULL)
        return 0;
    struct rule *rule = &control->rules[kind];
    uint32_t every = atomic_load(&rule->every);
    if (every == 0)
        return 0;
    if (atomic_fetch_add(&rule->calls, 1) % every != every - 1)
        return 0;
    atomic_fetch_add(&rule->failed, 1);
    return atomic_load(&rule->error);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF(kind)              \
    do {                           \
        int error = failure(kind); \
        if (error > 0) {           \
            errno = error;         \
            return -1;             \
        }                          \
    } while (0)

static mode_t type_of(int fd)
{
    struct stat status;
    return fstat(fd, &status) == 0 ? status.st_mode & S_IFMT : 0;
}

/* The kind that a transfer on this descriptor counts as; CALLS if it never fails. */
static enum call transfer(int fd, enum call on_socket, enum call on_file)
{
    if (control == NULL || fd == atomic_load(&record_fd) || (spare_stderr && fd == STDERR_FILENO))
        return CALLS;
    mode_t type = type_of(fd);
    if (type == S_IFREG)
        return on_file;
    if (type != S_IFSOCK)
        return CALLS;
    int kind = 0;
    socklen_t size = sizeof kind;
    static int (*real)(int, int, int, void *, socklen_t *);
    if (real == NULL)
        real = dlsym(RTLD_NEXT, "getsockopt");
    if (real(fd, SOL_SOCKET, SO_TYPE, &kind, &size) == 0 && kind == SOCK_DGRAM)
        return on_socket == WRITE ? DATAGRAM : CALLS;
    return on_socket;
}

static int transfer_failure(int fd, enum call on_socket, enum call on_file)
{
    enum call kind = transfer(fd, on_socket, on_file);
    return kind == CALLS ? 0 : failure(kind);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    FAIL_IF(ACCEPT);
    return REAL(accept4)(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    FAIL_IF(ACCEPT);
    return REAL(accept)(fd, address, size);
}

int socket(int domain, int type, int protocol)
{
    FAIL_IF(SOCKET);
    return REAL(socket)(domain, type, protocol);
}

int bind(int fd, const struct sockaddr *address, socklen_t size)
{
    FAIL_IF(BIND);
    return REAL(bind)(fd, address, size);
}

int listen(int fd, int backlog)
{
    FAIL_IF(LISTEN);
    atomic_store(&listening, 1);
    return REAL(listen)(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    FAIL_IF(CONNECT);
    return REAL(connect)(fd, address, size);
}

/* SO_ERROR gives the result of a non-blocking connect. */
int getsockopt(int fd, int level, int name, void *value, socklen_t *size)
{
    int done = REAL(getsockopt)(fd, level, name, value, size);
    if (done == 0 && level == SOL_SOCKET && name == SO_ERROR && *(int *)value == 0) {
        int error = failure(CONNECTED);
        if (error > 0)
            *(int *)value = error;
    }
    return done;
}

int shutdown(int fd, int how)
{
    FAIL_IF(SHUTDOWN);
    return REAL(shutdown)(fd, how);
}

ssize_t read(int fd, void *buffer, size_t size)
{
    int error = transfer_failure(fd, READ, CALLS);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(read)(fd, buffer, error == SHORT && size > 1 ? 1 : size);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    int error = transfer_failure(fd, READ, CALLS);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(recv)(fd, buffer, error == SHORT && size > 1 ? 1 : size, flags);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    int error = transfer_failure(fd, WRITE, FILE_WRITE);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(write)(fd, buffer, error == SHORT && size > 1 ? 1 : size);
}

ssize_t pwrite64(int fd, const void *buffer, size_t size, off64_t at)
{
    int error = transfer_failure(fd, WRITE, FILE_WRITE);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(pwrite64)(fd, buffer, error == SHORT && size > 1 ? 1 : size, at);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    int error = transfer_failure(fd, WRITE, CALLS);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(send)(fd, buffer, error == SHORT && size > 1 ? 1 : size, flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count)
{
    int error = transfer_failure(fd, WRITE, FILE_WRITE);
    if (error > 0) {
        errno = error;
        return -1;
    }
    if (error == SHORT && count > 0 && pieces[0].iov_len > 0)
        return REAL(write)(fd, pieces[0].iov_base, 1);
    return REAL(writev)(fd, pieces, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    int error = transfer_failure(fd, WRITE, CALLS);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(sendmsg)(fd, message, flags);
}

ssize_t sendto(int fd, const void *buffer, size_t size, int flags, const struct sockaddr *address,
               socklen_t length)
{
    int error = transfer_failure(fd, WRITE, CALLS);
    if (error > 0) {
        errno = error;
        return -1;
    }
    return REAL(sendto)(fd, buffer, size, flags, address, length);
}

int epoll_pwait(int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask)
{
    FAIL_IF(WAIT);
    return REAL(epoll_pwait)(fd, events, max_events, timeout, mask);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    FAIL_IF(WAIT);
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int watched, struct epoll_event *event)
{
    if (atomic_load(&listening))
        FAIL_IF(EPOLL_CTL);
    return REAL(epoll_ctl)(fd, operation, watched, event);
}

int poll(struct pollfd *polled, nfds_t count, int timeout)
{
    FAIL_IF(WAIT);
    return REAL(poll)(polled, count, timeout);
}

static int is_record(const char *path)
{
    size_t size = strlen(path), suffix = strlen(RECORD_SUFFIX);
    return size >= suffix && strcmp(path + size - suffix, RECORD_SUFFIX) == 0;
}

static int opened(const char *path, int fd)
{
    if (fd >= 0 && is_record(path))
        atomic_store(&record_fd, fd);
    return fd;
}

static int open_failure(const char *path)
{
    if (is_record(path))
        return 0;
    if (!atomic_load(&listening) && (strstr(path, "/lib/") != NULL || strstr(path, ".py") != NULL))
        return 0;
    return failure(OPEN);
}

#define FAIL_OPEN(path)                 \
    do {                                \
        int error = open_failure(path); \
        if (error > 0) {                \
            errno = error;              \
            return -1;                  \
        }                               \
    } while (0)

static int mode_of(int flags, va_list arguments)
{
    return flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, int) : 0;
}

int open64(const char *path, int flags, ...)
{
    FAIL_OPEN(path);
    va_list arguments;
    va_start(arguments, flags);
    int mode = mode_of(flags, arguments);
    va_end(arguments);
    return opened(path, REAL(open64)(path, flags, mode));
}

int open(const char *path, int flags, ...)
{
    FAIL_OPEN(path);
    va_list arguments;
    va_start(arguments, flags);
    int mode = mode_of(flags, arguments);
    va_end(arguments);
    return opened(path, REAL(open)(path, flags, mode));
}

int openat64(int folder, const char *path, int flags, ...)
{
    FAIL_OPEN(path);
    va_list arguments;
    va_start(arguments, flags);
    int mode = mode_of(flags, arguments);
    va_end(arguments);
    return opened(path, REAL(openat64)(folder, path, flags, mode));
}

int fsync(int fd)
{
    FAIL_IF(SYNC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd)
{
    FAIL_IF(SYNC);
    return REAL(fdatasync)(fd);
}

int rename(const char *from, const char *to)
{
    FAIL_IF(RENAME);
    return REAL(rename)(from, to);
}

int renameat(int from_folder, const char *from, int to_folder, const char *to)
{
    FAIL_IF(RENAME);
    return REAL(renameat)(from_folder, from, to_folder, to);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int done = REAL(clock_gettime)(clock, time);
    if (done == 0 && control != NULL && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t now = time->tv_sec * INT64_C(1000000000) + time->tv_nsec + atomic_load(&control->wall_offset);
        time->tv_sec = now / 1000000000;
        time->tv_nsec = now % 1000000000;
    }
    return done;
}
