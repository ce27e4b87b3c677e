/*
 * Runs a test in a process whose memory is laid out the same each time.  Tables
 * whose keys are addresses are iterated, so what a run does depends on where
 * its objects lie: on address randomisation and on what ran before.  Each run
 * gets a copy of a process that was forked before main.  To be included by one
 * file of a program.
 */

#ifndef FRESH_PROCESS_H
#define FRESH_PROCESS_H

#include <sys/personality.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

typedef std::string (*run_of_seed)(unsigned seed);

struct fresh_request {
	run_of_seed run;
	unsigned seed;
};

/* Starts this program again without address randomisation; goes on if that is
 * not permitted. */
static inline void
fix_addresses()
{
	int persona = personality(0xffffffff);

	if (persona == -1 || (persona & ADDR_NO_RANDOMIZE) != 0)
		return;

	std::ifstream in("/proc/self/cmdline");
	std::vector<std::string> args;
	std::vector<char *> argv;

	for (std::string arg; std::getline(in, arg, '\0');)
		args.push_back(arg);
	for (std::string &arg : args)
		argv.push_back(&arg[0]);
	argv.push_back(nullptr);
	if (args.empty() || personality(persona | ADDR_NO_RANDOMIZE) == -1)
		return;
	execv("/proc/self/exe", argv.data());
}

/* Runs the request in a child and sends its text, then its exit status. */
static inline void
serve_request(int fd, const struct fresh_request &request)
{
	int status = -1;
	int ends[2];
	char buf[512];
	std::string text;
	pid_t child;

	if (pipe(ends) != 0)
		_exit(1);
	child = fork();
	if (child == 0) {
		close(ends[0]);
		text = request.run(request.seed);
		for (size_t done = 0; done < text.size();) {
			ssize_t n = write(
			    ends[1], text.data() + done, text.size() - done);

			if (n <= 0)
				_exit(1);
			done += static_cast<size_t>(n);
		}
		exit(0);
	}
	close(ends[1]);
	for (ssize_t n; (n = read(ends[0], buf, sizeof buf)) > 0;)
		text.append(buf, static_cast<size_t>(n));
	close(ends[0]);
	if (child == -1 || waitpid(child, &status, 0) == -1 || status != 0)
		text += "ended with status " + std::to_string(status) + "\n";

	size_t size = text.size();

	if (write(fd, &size, sizeof size) != static_cast<ssize_t>(sizeof size))
		_exit(1);
	for (size_t done = 0; done < size;) {
		ssize_t n = write(fd, text.data() + done, size - done);

		if (n <= 0)
			_exit(1);
		done += static_cast<size_t>(n);
	}
}

/* Returns a socket of a process that serves requests until it is closed. */
static inline int
start_server()
{
	struct fresh_request request;
	int ends[2];
	pid_t server;

	fix_addresses();
	if (socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0)
		return -1;
	server = fork();
	if (server == 0) {
		close(ends[0]);
		while (read(ends[1], &request, sizeof request) ==
		       static_cast<ssize_t>(sizeof request))
			serve_request(ends[1], request);
		_exit(0);
	}
	close(ends[1]);
	return server != -1 ? ends[0] : -1;
}

static const int fresh_server = start_server();

/* The text that run returns, with a line more if it ended otherwise. */
static inline std::string
run_in_fresh_process(run_of_seed run, unsigned seed)
{
	struct fresh_request request = {run, seed};
	size_t size = 0;
	std::string text;

	if (write(fresh_server, &request, sizeof request) !=
		static_cast<ssize_t>(sizeof request) ||
	    recv(fresh_server, &size, sizeof size, MSG_WAITALL) !=
		static_cast<ssize_t>(sizeof size))
		return "no fresh process\n";
	text.resize(size);
	if (size > 0 && recv(fresh_server, &text[0], size, MSG_WAITALL) !=
			    static_cast<ssize_t>(size))
		return "no fresh process\n";
	return text;
}

#endif
