#include "process.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace e2e {

Process::Process(const std::string &Program,
                 const std::vector<std::string> &Arguments) {
  int Ends[2];
  if (pipe2(Ends, O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  std::vector<char *> Argv{const_cast<char *>(Program.c_str())};
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDERR_FILENO);
  int Error = posix_spawn(&Pid_, Program.c_str(), &Actions, nullptr,
                          Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  close(Ends[1]);
  Output_ = Ends[0];
  if (Error != 0)
    throw std::runtime_error("cannot start " + Program);
  Reader_ = std::thread([this] { read(); });
}

Process::~Process() {
  if (!Reaped_) {
    kill(Pid_, SIGKILL);
    wait();
  }
  Reader_.join();
  close(Output_);
}

void Process::read() {
  std::string Partial;
  char Buffer[4096];
  for (ssize_t Count; (Count = ::read(Output_, Buffer, sizeof(Buffer))) > 0;) {
    Partial.append(Buffer, Count);
    std::lock_guard<std::mutex> Lock(Mutex_);
    for (std::size_t End; (End = Partial.find('\n')) != Partial.npos;) {
      Lines_.push_back(Partial.substr(0, End));
      Partial.erase(0, End + 1);
    }
    Changed_.notify_all();
  }
  std::lock_guard<std::mutex> Lock(Mutex_);
  Ended_ = true;
  Changed_.notify_all();
}

int Process::waitForLine(const std::string &Text, int From,
                         std::chrono::milliseconds Limit) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  std::size_t Next = From;
  int Found = -1;
  Changed_.wait_for(Lock, Limit, [&] {
    for (; Next < Lines_.size(); ++Next)
      if (Lines_[Next].find(Text) != std::string::npos) {
        Found = static_cast<int>(Next);
        return true;
      }
    return Ended_;
  });
  return Found;
}

int Process::countLines(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return static_cast<int>(std::count_if(
      Lines_.begin(), Lines_.end(), [&Text](const std::string &Known) {
        return Known.find(Text) != std::string::npos;
      }));
}

std::vector<std::string> Process::lines() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Lines_;
}

void Process::signal(int Signal) {
  if (!Reaped_)
    kill(Pid_, Signal);
}

int Process::wait() {
  if (!Reaped_) {
    while (waitpid(Pid_, &Status_, 0) < 0 && errno == EINTR) {
    }
    Reaped_ = true;
  }
  return WIFEXITED(Status_) ? WEXITSTATUS(Status_) : -WTERMSIG(Status_);
}

} // namespace e2e
