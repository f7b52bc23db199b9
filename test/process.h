#ifndef TEST_PROCESS_H
#define TEST_PROCESS_H

/*
 * Processes that a test starts, and a directory for their files that goes away
 * with the test program. A process is ended by its own number only, and dies
 * with the thread that started it should a test fail half way: start
 * processes from a test's first thread.
 */

#include <check.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define PROCESS_ARGS_MAX 32
#define PROCESS_NAME_MAX 32
#define PROCESS_PATH_MAX 512

/* process_stop() of a process that did not end in time or by a signal */
#define PROCESS_KILLED -1

typedef struct process {
	pid_t pid; /* 0: not running */
	uint16_t port; /* from its "listening on" line */
	char name[PROCESS_NAME_MAX];
	char out[PROCESS_PATH_MAX]; /* of earlier runs: out.1, out.2 ... */
	char err[PROCESS_PATH_MAX];
} process_t;

/*
 * Runs the suite with a directory for files, shows the ends of the processes'
 * logs if a test failed, removes the directory, returns main()'s status.
 */
int process_run_suite(Suite *suite);

/* Writes a file into the directory and gives its path. Returns 0, or -1. */
int process_write_file(char path[PROCESS_PATH_MAX], const char *name,
		       const char *text);

/*
 * Starts a program of the build directory (environment variable B) with
 * arguments up to a NULL. Its output goes into files named after it.
 */
int process_start(process_t *process, const char *name, const char *program,
		  const char *const args[]);

/* Waits for "listening on 127.0.0.1:PORT". Returns 0, or -1. */
int process_wait_listening(process_t *process, int timeout_ms);

/* Waits until GET /healthz there answers 200. Returns 0, or -1. */
int process_wait_health(uint16_t port, int timeout_ms);

/* SIGTERM, and SIGKILL after the time. Returns the exit status. */
int process_stop(process_t *process, int timeout_ms);
/* Waits for the end. Returns the exit status, or PROCESS_KILLED. */
int process_wait(process_t *process, int timeout_ms);
void process_kill(process_t *process); /* SIGKILL, and waits */
void process_freeze(const process_t *process); /* SIGSTOP */
void process_thaw(const process_t *process); /* SIGCONT */
bool process_running(process_t *process);

/* Whether the process's standard error holds the text. */
bool process_logged(const process_t *process, const char *text);

/* A port of loopback that nobody listens on now; 0 if there is none. */
uint16_t process_free_port(void);

void process_sleep_ms(int ms);
int64_t process_now_ms(void);

#endif
