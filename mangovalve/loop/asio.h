// The event loop's library, Boost.Asio with Beast, under the names that the
// rest of the code uses.
//
// All sockets and all state of the serving path belong to the one thread that
// runs the io_context, so nothing there takes a lock.
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

// A coroutine of the event loop.
template<typename T = void>
using Task = asio::awaitable<T>;

using RequestHead = http::request_header<http::fields>;
using ResponseHead = http::response_header<http::fields>;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

// Completion token that reports an error in aError instead of throwing.
inline auto CaptureError(ErrorCode& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

// Starts aTask on the loop. An exception that leaves it ends the process: the
// tasks report their errors as values.
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
