/*
 * A library for LD_PRELOAD, for tests, that steps the wall clock of one process. The file named by STEPPED_CLOCK_FILE
 * holds the offset in nanoseconds in eight bytes; the file is mapped, so that a write to it steps the clock. All other
 * clocks are unchanged, as when an operator or a time service steps the clock of a machine.
 */
#define _GNU_SOURCE
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static const int64_t SECOND = 1000000000;
static volatile int64_t *offset;

__attribute__((constructor)) static void map_offset(void) {
  const char *path = getenv("STEPPED_CLOCK_FILE");
  int fd = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
  if (fd < 0) {
    return;
  }
  void *mapped = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
  offset = mapped == MAP_FAILED ? NULL : mapped;
  close(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  int result = (int) syscall(SYS_clock_gettime, clock, now);
  int wall = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
  if (result == 0 && wall && offset != NULL) {
    int64_t stepped = now->tv_sec * SECOND + now->tv_nsec + *offset;
    now->tv_sec = stepped / SECOND;
    now->tv_nsec = stepped % SECOND;
  }
  return result;
}

int gettimeofday(struct timeval *now, void *zone) {
  struct timespec exact;
  (void) zone;
  int result = clock_gettime(CLOCK_REALTIME, &exact);
  now->tv_sec = exact.tv_sec;
  now->tv_usec = exact.tv_nsec / 1000;
  return result;
}

time_t time(time_t *now) {
  struct timespec exact;
  clock_gettime(CLOCK_REALTIME, &exact);
  if (now != NULL) {
    *now = exact.tv_sec;
  }
  return exact.tv_sec;
}
