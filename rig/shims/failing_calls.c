/* LD_PRELOAD library: makes random socket system calls fail with errors that their manual pages document.
 *
 * FAILING_CALLS_SEED seeds the generator, FAILING_CALLS_PER_MILLE is the number of failing calls per thousand. No
 * call fails in the first second, so that the program can start.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <time.h>

#define START_GRACE_NS 1000000000LL
#define COUNT(errors) (sizeof(errors) / sizeof((errors)[0]))

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static unsigned int state;
static unsigned int per_mille;
static long long began_ns;

static long long now_ns(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

__attribute__((constructor)) static void configure(void) {
    const char *seed = getenv("FAILING_CALLS_SEED");
    const char *rate = getenv("FAILING_CALLS_PER_MILLE");
    state = seed ? (unsigned int)atoi(seed) : 1;
    per_mille = rate ? (unsigned int)atoi(rate) : 0;
    began_ns = now_ns();
}

/* An error drawn uniformly if this call is to fail, else 0. */
static int draw_error(const int *errors, size_t count) {
    int error = 0;
    if (per_mille == 0 || now_ns() - began_ns < START_GRACE_NS)
        return 0;
    pthread_mutex_lock(&lock);
    if ((unsigned int)rand_r(&state) % 1000 < per_mille)
        error = errors[(unsigned int)rand_r(&state) % count];
    pthread_mutex_unlock(&lock);
    return error;
}

/* Calls fail only on TCP sockets over IPv4. */
static int is_tcp(int fd) {
    int type = 0, domain = 0;
    socklen_t size = sizeof(type);
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM)
        return 0;
    size = sizeof(domain);
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == AF_INET;
}

static const int SOCKET_ERRORS[] = {ENFILE, ENOBUFS, EMFILE};
static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EINTR, ENOBUFS};
static const int TRANSFER_ERRORS[] = {EINTR, EAGAIN};

int socket(int domain, int type, int protocol) {
    int (*next)(int, int, int) = dlsym(RTLD_NEXT, "socket");
    int error = domain == AF_INET ? draw_error(SOCKET_ERRORS, COUNT(SOCKET_ERRORS)) : 0;
    if (error) {
        errno = error;
        return -1;
    }
    return next(domain, type, protocol);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    int (*next)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    int error = is_tcp(fd) ? draw_error(ACCEPT_ERRORS, COUNT(ACCEPT_ERRORS)) : 0;
    if (error) {
        errno = error;
        return -1;
    }
    return next(fd, address, size, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    int (*next)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    int error = is_tcp(fd) ? draw_error(CONNECT_ERRORS, COUNT(CONNECT_ERRORS)) : 0;
    if (error) {
        errno = error;
        return -1;
    }
    return next(fd, address, size);
}

/* A transfer that is to fail is interrupted (EINTR) or transfers a single byte (EAGAIN). */
ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    ssize_t (*next)(int, void *, size_t, int) = dlsym(RTLD_NEXT, "recv");
    int error = is_tcp(fd) ? draw_error(TRANSFER_ERRORS, COUNT(TRANSFER_ERRORS)) : 0;
    if (error == EINTR) {
        errno = error;
        return -1;
    }
    return next(fd, buffer, error && size > 1 ? 1 : size, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    ssize_t (*next)(int, const void *, size_t, int) = dlsym(RTLD_NEXT, "send");
    int error = is_tcp(fd) ? draw_error(TRANSFER_ERRORS, COUNT(TRANSFER_ERRORS)) : 0;
    if (error == EINTR) {
        errno = error;
        return -1;
    }
    return next(fd, buffer, error && size > 1 ? 1 : size, flags);
}
