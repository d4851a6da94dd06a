#include "Node/TaskThread.h"

namespace fescueline {

namespace {
/// Bounds the tasks that wait for a slow table service; further ones would only
/// time out.
constexpr size_t kMaxTasks = 1024;
}  // namespace

TaskThread::TaskThread() : thread([this] { this->Run(); }) {}

TaskThread::~TaskThread() { this->Stop(); }

bool TaskThread::Post(std::function<void()> aTask) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->stopping || this->tasks.size() >= kMaxTasks) {
      return false;
    }
    this->tasks.push_back(std::move(aTask));
  }
  this->changed.notify_one();
  return true;
}

void TaskThread::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->tasks.clear();
  }
  this->changed.notify_one();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void TaskThread::Run() {
  std::unique_lock lock(this->mutex);
  for (;;) {
    this->changed.wait(
        lock, [this] { return this->stopping || !this->tasks.empty(); });
    if (this->stopping) {
      return;
    }
    const std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace fescueline
