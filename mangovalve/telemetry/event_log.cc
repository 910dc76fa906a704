// Event log over log4cxx.
#include "mangovalve/telemetry/event_log.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace mangovalve {
namespace {

auto ProcessLogger() -> log4cxx::LoggerPtr&
{
  static auto* const sLogger =
    new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("mangovalve"));
  return *sLogger;
}

auto NeedsQuotes(std::string_view aValue) -> bool
{
  for (const auto c : aValue) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return aValue.empty();
}

auto ToLevel(Severity aSeverity) -> log4cxx::LevelPtr
{
  switch (aSeverity) {
    case Severity::Debug:
      return log4cxx::Level::getDebug();
    case Severity::Info:
      return log4cxx::Level::getInfo();
    case Severity::Warn:
      return log4cxx::Level::getWarn();
    case Severity::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

} // namespace

auto StartEventLog(const std::string& aLevel, LogTarget aTarget) -> void
{
  auto layout = std::make_shared<log4cxx::PatternLayout>(
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p %m%n");
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  appender->setTarget(aTarget == LogTarget::StandardOutput ? "System.out"
                                                           : "System.err");
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  auto& logger = ProcessLogger();
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->addAppender(appender);
  SetLogLevel(aLevel);
}

auto SetLogLevel(const std::string& aLevel) -> void
{
  ProcessLogger()->setLevel(
    log4cxx::Level::toLevel(aLevel, log4cxx::Level::getInfo()));
}

auto FormatEvent(std::string_view aEvent, const Fields& aFields) -> std::string
{
  auto line =
    absl::StrCat("event=", absl::string_view(aEvent.data(), aEvent.size()));
  for (const auto& [key, value] : aFields) {
    absl::StrAppend(&line, " ", absl::string_view(key.data(), key.size()), "=");
    if (NeedsQuotes(value)) {
      absl::StrAppend(&line, "\"", absl::CEscape(value), "\"");
    } else {
      line += value;
    }
  }
  return line;
}

auto LogEvent(Severity aSeverity,
              std::string_view aEvent,
              const Fields& aFields) -> void
{
  auto& logger = ProcessLogger();
  const auto level = ToLevel(aSeverity);
  if (logger->isEnabledFor(level)) {
    logger->log(level, FormatEvent(aEvent, aFields));
  }
}

} // namespace mangovalve
