// A small thread pool for blocking tasks, so that the event loop never blocks.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ebonymount {

class TaskQueue {
public:
    explicit TaskQueue(int threads);
    ~TaskQueue();
    TaskQueue(const TaskQueue&) = delete;
    TaskQueue& operator=(const TaskQueue&) = delete;
    TaskQueue(TaskQueue&&) = delete;
    TaskQueue& operator=(TaskQueue&&) = delete;

    /// Queues a task for any thread of the pool.
    void post(std::function<void()> task);

    /// Runs the tasks that are already posted, then ends the threads.
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

}  // namespace ebonymount
