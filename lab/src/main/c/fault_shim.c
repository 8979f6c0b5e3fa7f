/*
 * Preloaded into a proxy under test (LD_PRELOAD) to step its wall clock and make some of its system calls fail.
 * The current faults are in a file that this library maps and the soak writes, so they can change at any time.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOS_PER_SECOND 1000000000LL

/* Must match the layout that FaultShim.java writes, in native byte order. */
struct faults {
    int64_t clock_step_ns;
    int32_t accept_permille;
    int32_t accept_errno;
    int32_t connect_permille;
    int32_t connect_errno;
    int32_t socket_permille;
    int32_t socket_errno;
};

static volatile struct faults no_faults;
static volatile struct faults *active_faults = &no_faults;

/* Maps the file named by FAULT_SHIM_FILE; without it there are no faults. */
__attribute__((constructor)) static void map_faults(void)
{
    const char *path = getenv("FAULT_SHIM_FILE");
    int fd = path ? open(path, O_RDONLY) : -1;
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct faults), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        active_faults = mapped;
    }
}

/* Decides randomly, with a generator for each thread, whether a call fails. */
static int should_fail(int32_t permille)
{
    static __thread uint32_t random_state;
    if (random_state == 0) {
        random_state = (uint32_t)(uintptr_t)&random_state | 1;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return (int32_t)(random_state % 1000) < permille;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    static int (*real)(clockid_t, struct timespec *);
    if (!real) {
        real = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        int64_t ns = now->tv_sec * NANOS_PER_SECOND + now->tv_nsec + active_faults->clock_step_ns;
        now->tv_sec = ns / NANOS_PER_SECOND;
        now->tv_nsec = ns % NANOS_PER_SECOND;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    struct timespec precise;
    (void)zone;
    int result = clock_gettime(CLOCK_REALTIME, &precise);
    now->tv_sec = precise.tv_sec;
    now->tv_usec = precise.tv_nsec / 1000;
    return result;
}

time_t time(time_t *seconds)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds) {
        *seconds = now.tv_sec;
    }
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    if (!real) {
        real = (int (*)(int, struct sockaddr *, socklen_t *, int))dlsym(RTLD_NEXT, "accept4");
    }
    if (should_fail(active_faults->accept_permille)) {
        errno = active_faults->accept_errno;
        return -1;
    }
    return real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length)
{
    return accept4(fd, address, length, 0);
}

int socket(int domain, int type, int protocol)
{
    static int (*real)(int, int, int);
    if (!real) {
        real = (int (*)(int, int, int))dlsym(RTLD_NEXT, "socket");
    }
    if (should_fail(active_faults->socket_permille)) {
        errno = active_faults->socket_errno;
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);
    if (!real) {
        real = (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    }
    if (should_fail(active_faults->connect_permille)) {
        errno = active_faults->connect_errno;
        return -1;
    }
    return real(fd, address, length);
}
