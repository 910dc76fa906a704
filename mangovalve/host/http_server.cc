// HttpServer and the checks before routing, over httplib.
#include "mangovalve/host/http_server.h"

#include <absl/strings/str_cat.h>

#include "mangovalve/batch/frontend.h"
#include "mangovalve/keys/keys.h"

namespace mangovalve {

HttpServer::HttpServer(std::string aName, const OnlineFrontendOptions& aOptions)
  : mName(std::move(aName))
{
  ConfigureServer(mServer, aOptions);
}

HttpServer::~HttpServer()
{
  Stop();
}

auto HttpServer::Start(const Address& aAddress) -> Result<void, std::string>
{
  if (BindServer(mServer, aAddress.mIp, aAddress.mPort) == 0) {
    return Err(absl::StrCat("cannot bind ", FormatAddress(aAddress)));
  }
  mThread = Thread(mName, [this] { mServer.listen_after_bind(); });
  // stop() has no effect on a server that does not run yet.
  while (!mServer.is_running()) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  return {};
}

auto HttpServer::Stop() -> void
{
  mServer.stop();
  mThread.Join();
}

// Whether the request is POST /v1/jobs/ID, the only one whose body is read as a
// stream. Handlers of all other paths hold the body in memory.
static auto IsJobUpload(const httplib::Request& aRequest) -> bool
{
  constexpr std::string_view kJobsPath = "/v1/jobs/";
  return aRequest.method == "POST" && aRequest.path.starts_with(kJobsPath) &&
         IsJobId(std::string_view(aRequest.path).substr(kJobsPath.size()));
}

auto LimitBodies(httplib::Server& aServer, std::size_t aMaxBodyBytes) -> void
{
  aServer.set_pre_routing_handler(
    [aMaxBodyBytes](const httplib::Request& aRequest,
                    httplib::Response& aResponse) {
      if (IsJobUpload(aRequest)) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      const auto length =
        aRequest.get_header_value<std::uint64_t>("Content-Length");
      if (length > aMaxBodyBytes) {
        aResponse.status = 413;
      } else if (aRequest.has_header("Transfer-Encoding")) {
        aResponse.status = 411;
      } else {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      // The unread body would be parsed as the next request, so the connection
      // must be closed.
      aResponse.set_header("Connection", "close");
      return httplib::Server::HandlerResponse::Handled;
    });
}

auto RequireToken(httplib::Server& aServer, const std::string& aDigest) -> void
{
  aServer.set_pre_routing_handler([aDigest](const httplib::Request& aRequest,
                                            httplib::Response& aResponse) {
    const HeaderList headers(aRequest.headers.begin(), aRequest.headers.end());
    if (!aRequest.path.starts_with("/v1/config") ||
        KeyDigest(ExtractKey(headers, "")) == aDigest) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    aResponse.status = 401;
    aResponse.set_header("Connection", "close");
    aResponse.set_content(
      R"({"error":"no_token","message":"the operator token is required"})"
      "\n",
      "application/json");
    return httplib::Server::HandlerResponse::Handled;
  });
}

} // namespace mangovalve
