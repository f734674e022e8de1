#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace pomeloloft {

/// A read-copy-update cell. Readers load a pointer to the current immutable value, and a writer replaces it
/// atomically. An old value is freed when its last reader releases it.
template <typename T>
class rcu_cell {
public:
    /// Returns the current value; null before the first `store`.
    [[nodiscard]] std::shared_ptr<const T> load() const
    {
        return this->value.load(std::memory_order_acquire);
    }

    /// Replaces the value that later calls of `load` return.
    void store(std::shared_ptr<const T> next)
    {
        this->value.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> value;
};

} // namespace pomeloloft
