// Linked into chervil-router-with-cuts, the router of partitioned_routers.py and
// resting_servers.py; its functions stand before those of the C library.
// Connections of the process to port $CUT_PORT come from the address $SOURCE_IP,
// if it is set; on loopback they would all come from 127.0.0.1. While the file
// $CUT_FILE exists, they are cut. The first letter of the file tells how:
//   h  new connections never complete; bytes on open ones vanish both ways
//   r  new connections are refused, open ones are reset
//   n  new connections are refused, open ones live on
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum { kMaxDescriptors = 65536, kPollMicroseconds = 5000, kFillers = 4 };

static atomic_char cut_kind;  // 0: not cut
static atomic_char to_server[kMaxDescriptors];
static int server_port;
static struct sockaddr_in source_address;  // port 0: any
static struct sockaddr_in silent_address;  // never accepts a connection

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int is_to_server(int fd) {
  return fd >= 0 && fd < kMaxDescriptors && to_server[fd];
}

static void* watch_cut_file(void* unused) {
  (void)unused;
  for (;;) {
    char kind = 0;
    const int fd = open(getenv("CUT_FILE"), O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
      if (read(fd, &kind, 1) != 1) {
        kind = 0;
      }
      REAL(close)(fd);
    }
    if (kind == 'r' && cut_kind != 'r') {
      for (int i = 0; i < kMaxDescriptors; ++i) {
        if (to_server[i]) {
          shutdown(i, SHUT_RDWR);
        }
      }
    }
    cut_kind = kind;
    usleep(kPollMicroseconds);
  }
  return NULL;
}

__attribute__((constructor)) static void start(void) {
  if (!getenv("CUT_PORT")) {
    return;
  }
  server_port = atoi(getenv("CUT_PORT"));
  if (getenv("SOURCE_IP") &&
      inet_pton(AF_INET, getenv("SOURCE_IP"), &source_address.sin_addr) == 1) {
    source_address.sin_family = AF_INET;
  }
  if (!getenv("CUT_FILE")) {
    return;
  }
  silent_address.sin_family = AF_INET;
  silent_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof silent_address;
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bind(listener, (struct sockaddr*)&silent_address, size);
  listen(listener, 0);
  getsockname(listener, (struct sockaddr*)&silent_address, &size);
  // A full backlog keeps later connections waiting.
  for (int i = 0; i < kFillers; ++i) {
    REAL(connect)(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
                  (struct sockaddr*)&silent_address, size);
  }
  pthread_t thread;
  pthread_create(&thread, NULL, watch_cut_file, NULL);
}

int connect(int fd, const struct sockaddr* address, socklen_t size) {
  const struct sockaddr_in* to = (const struct sockaddr_in*)address;
  if (server_port != 0 && address->sa_family == AF_INET &&
      ntohs(to->sin_port) == server_port) {
    if (fd < kMaxDescriptors) {
      to_server[fd] = 1;
    }
    if (cut_kind == 'r' || cut_kind == 'n') {
      errno = ECONNREFUSED;
      return -1;
    }
    if (source_address.sin_family == AF_INET) {
      // The port is chosen at the connect, so that ports can be shared.
      const int on = 1;
      setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
      bind(fd, (const struct sockaddr*)&source_address, sizeof source_address);
    }
    if (cut_kind == 'h') {
      return REAL(connect)(fd, (struct sockaddr*)&silent_address,
                           sizeof silent_address);
    }
  }
  return REAL(connect)(fd, address, size);
}

int close(int fd) {
  if (fd >= 0 && fd < kMaxDescriptors) {
    to_server[fd] = 0;
  }
  return REAL(close)(fd);
}

ssize_t sendmsg(int fd, const struct msghdr* message, int flags) {
  if (cut_kind == 'h' && is_to_server(fd)) {
    ssize_t sum = 0;
    for (size_t i = 0; i < message->msg_iovlen; ++i) {
      sum += (ssize_t)message->msg_iov[i].iov_len;
    }
    return sum;
  }
  return REAL(sendmsg)(fd, message, flags);
}

ssize_t send(int fd, const void* data, size_t size, int flags) {
  return cut_kind == 'h' && is_to_server(fd) ? (ssize_t)size
                                             : REAL(send)(fd, data, size, flags);
}

ssize_t recvmsg(int fd, struct msghdr* message, int flags) {
  if (cut_kind == 'h' && is_to_server(fd)) {
    errno = EAGAIN;
    return -1;
  }
  return REAL(recvmsg)(fd, message, flags);
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
  if (cut_kind == 'h' && is_to_server(fd)) {
    errno = EAGAIN;
    return -1;
  }
  return REAL(recv)(fd, data, size, flags);
}
