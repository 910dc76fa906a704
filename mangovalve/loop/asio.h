// Aliases and helpers for the event loop, which is Boost.Asio with Beast.
//
// Only the thread that runs the io_context accesses the sockets and the state
// of the serving path, so no locks are needed there.
#pragma once

// Asio 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "mangovalve/base/time.h"

namespace mangovalve {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using Udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

// A coroutine that runs on the event loop.
template<typename T = void>
using Task = asio::awaitable<T>;

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Completion token that stores an error in aError instead of throwing.
inline auto CaptureError(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

// Starts aTask on the loop. Tasks report errors as values, so an exception that
// escapes a task ends the process.
inline auto Spawn(asio::io_context& aLoop, Task<> aTask) -> void
{
  asio::co_spawn(aLoop, std::move(aTask), [](std::exception_ptr aThrown) {
    if (aThrown) {
      std::rethrow_exception(aThrown);
    }
  });
}

// Suspends the calling task until aUntil.
inline auto SleepUntil(TimePoint aUntil) -> Task<>
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aUntil);
  ErrorCode error;
  co_await timer.async_wait(CaptureError(error));
}

} // namespace mangovalve
