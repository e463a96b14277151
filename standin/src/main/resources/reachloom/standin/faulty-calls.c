/*
 * A library for LD_PRELOAD, for tests, that makes system calls on TCP sockets fail with errors that Linux documents.
 * The file named by FAULTY_CALLS_FILE holds six 32-bit numbers: how many in a thousand calls of accept, socket,
 * connect, read and write fail, and the seed. The file is mapped, so that a write to it takes effect while the process
 * runs.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, SEED, NUMBERS };

static volatile int32_t *numbers;
static _Atomic uint64_t drawn;

__attribute__((constructor)) static void map_numbers(void) {
  const char *path = getenv("FAULTY_CALLS_FILE");
  int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return;
  }
  void *mapped = mmap(NULL, NUMBERS * sizeof(int32_t), PROT_READ, MAP_SHARED, fd, 0);
  numbers = mapped == MAP_FAILED ? NULL : mapped;
  close(fd);
}

/* Returns a pseudo-random number: the SplitMix64 finalizer over the seed and the number of the draw. */
static uint64_t draw(void) {
  uint64_t z = (uint64_t) numbers[SEED] + atomic_fetch_add(&drawn, 1) * 0x9e3779b97f4a7c15ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

/* Decides whether this call fails; if so, sets errno to one of the given errors and returns 1. */
static int fails(enum call call, const int *errors, int count) {
  if (numbers == NULL || numbers[call] == 0 || draw() % 1000 >= (uint64_t) numbers[call]) {
    return 0;
  }
  errno = errors[draw() % count];
  return 1;
}

static int is_tcp(int fd) {
  int domain = 0;
  int type = 0;
  socklen_t size = sizeof domain;
  int saved = errno;
  int is = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && (domain == AF_INET || domain == AF_INET6);
  size = sizeof type;
  is = is && getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
  errno = saved;
  return is;
}

static const int BUFFER_ERRORS[] = {ENOBUFS, ENOMEM, EINTR};

int accept(int fd, struct sockaddr *from, socklen_t *size) {
  static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR};
  return fails(ACCEPT, errors, 6) ? -1 : (int) syscall(SYS_accept, fd, from, size);
}

int socket(int domain, int type, int protocol) {
  static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
  return fails(SOCKET, errors, 4) ? -1 : (int) syscall(SYS_socket, domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
  static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENOMEM};
  return is_tcp(fd) && fails(CONNECT, errors, 4) ? -1 : (int) syscall(SYS_connect, fd, to, size);
}

ssize_t read(int fd, void *to, size_t size) {
  return numbers != NULL && numbers[READ] != 0 && is_tcp(fd) && fails(READ, BUFFER_ERRORS, 3) ? -1
      : syscall(SYS_read, fd, to, size);
}

ssize_t write(int fd, const void *from, size_t size) {
  return numbers != NULL && numbers[WRITE] != 0 && is_tcp(fd) && fails(WRITE, BUFFER_ERRORS, 3) ? -1
      : syscall(SYS_write, fd, from, size);
}

ssize_t readv(int fd, const struct iovec *to, int count) {
  return numbers != NULL && numbers[READ] != 0 && is_tcp(fd) && fails(READ, BUFFER_ERRORS, 3) ? -1
      : syscall(SYS_readv, fd, to, count);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
  return numbers != NULL && numbers[WRITE] != 0 && is_tcp(fd) && fails(WRITE, BUFFER_ERRORS, 3) ? -1
      : syscall(SYS_writev, fd, from, count);
}
