#include "node/task_queue.h"

#include "io/exception_guard.h"

namespace ebonymount {

TaskQueue::TaskQueue(int threads) {
    for (int index = 0; index < threads; ++index) {
        m_threads.emplace_back([this] { run(); });
    }
}

TaskQueue::~TaskQueue() {
    stop();
}

void TaskQueue::post(std::function<void()> task) {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
}

void TaskQueue::stop() {
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    for (std::thread& thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void TaskQueue::run() {
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        if (m_tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        run_guarded("tasks", task);
        lock.lock();
    }
}

}  // namespace ebonymount
