/** @file doorbell.h Doorbells for a plain thread and for an event loop. */

#pragma once

#include "core/time_type.h"
#include "net/ring.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace medlarmill
{

/** Doorbell of a thread that sleeps until it is woken or a time has passed. */
class ThreadDoorbell : public Doorbell
{
public:
    void ring() override;

    /** Sleeps until the doorbell rings; returns at once when it rang since the last call. @param longest longest sleep. */
    void wait(Duration longest);

private:
    std::atomic<bool> rung_{false};
    std::mutex mutex_;
    std::condition_variable wake_;
};

/** Doorbell of an event loop: runs a handler on it. */
class LoopDoorbell : public Doorbell
{
public:
    /** @param context the loop. @param handler runs on the loop after a ring; rings while it is due are merged. */
    LoopDoorbell(boost::asio::io_context &context, std::function<void()> handler);

    void ring() override;

private:
    boost::asio::io_context &context_;
    std::function<void()> handler_;
    std::atomic<bool> due_{false};
};

}
