/** @file doorbell.cpp Doorbells. */

#include "net/doorbell.h"

#include <boost/asio/post.hpp>

namespace medlarmill
{

void ThreadDoorbell::ring()
{
    if (rung_.exchange(true)) {
        return;
    }
    const std::lock_guard lock(mutex_);
    wake_.notify_one();
}

void ThreadDoorbell::wait(Duration longest)
{
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, longest, [this] {
        return rung_.load();
    });
    rung_.store(false);
}

LoopDoorbell::LoopDoorbell(boost::asio::io_context &context, std::function<void()> handler)
    : context_(context)
    , handler_(std::move(handler))
{ }

void LoopDoorbell::ring()
{
    if (due_.exchange(true)) {
        return;
    }
    boost::asio::post(context_, [this] {
        due_.store(false);
        handler_();
    });
}

}
