#include "gateway/event_loop.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <new>
#include <stdexcept>

namespace bronzechute {

namespace {

TEST(event_loop, continuesAfterAnUnexpectedError)
{
    boost::asio::io_context loop;
    int handled = 0;
    boost::asio::post(loop, [] { throw std::runtime_error("unexpected"); });
    boost::asio::post(loop, [&] { ++handled; });
    boost::asio::post(loop, [] { throw std::bad_alloc(); });
    boost::asio::post(loop, [&] { ++handled; });
    runEventLoop(loop);
    EXPECT_EQ(handled, 2);
}

} // namespace

} // namespace bronzechute
