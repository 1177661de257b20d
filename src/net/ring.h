/** @file ring.h Bounded ring between two threads, and the doorbell that wakes its reader. */

#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <memory>

namespace medlarmill
{

/** Wakes the thread that reads a ring. */
class Doorbell
{
public:
    virtual ~Doorbell() = default;

    /** Wakes the reader; cheap when it is awake. Callable from any thread. */
    virtual void ring() = 0;
};

/** Ring for one writing and one reading thread. A full ring refuses; it never blocks and never drops. */
template<typename T>
class BoundedRing
{
public:
    /** @param capacity most items. @param doorbell wakes the reader; must outlive the ring. */
    BoundedRing(std::size_t capacity, Doorbell &doorbell)
        : queue_(capacity)
        , doorbell_(doorbell)
    { }

    ~BoundedRing()
    {
        while (tryPop() != nullptr) { }
    }

    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;

    /** Writes an item. @param item the item; kept by the caller when the ring is full. @return false when the ring is full. */
    bool tryPush(std::unique_ptr<T> &item)
    {
        if (!queue_.push(item.get())) {
            doorbell_.ring();
            return false;
        }
        static_cast<void>(item.release());
        doorbell_.ring();
        return true;
    }

    /** Reads an item. @return the oldest item, or nullptr when the ring is empty. */
    std::unique_ptr<T> tryPop()
    {
        T *item = nullptr;
        return queue_.pop(item) ? std::unique_ptr<T>(item) : nullptr;
    }

private:
    boost::lockfree::spsc_queue<T *> queue_;
    Doorbell &doorbell_;
};

}
