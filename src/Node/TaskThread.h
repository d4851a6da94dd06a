#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace fescueline {

/// Runs blocking tasks, such as calls to the table service, one after the
/// other on a thread of its own. Any thread may post.
class TaskThread {
 public:
  TaskThread();
  TaskThread(const TaskThread&) = delete;
  TaskThread& operator=(const TaskThread&) = delete;
  /// Finishes the running task and drops the others.
  ~TaskThread();

  /// Queues a task; false if the queue is full or the thread stops.
  bool Post(std::function<void()> aTask);
  /// Finishes the running task and drops the others. Idempotent.
  void Stop();

 private:
  void Run();

  /// Guards everything below.
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  bool stopping = false;
  std::thread thread;
};

}  // namespace fescueline
