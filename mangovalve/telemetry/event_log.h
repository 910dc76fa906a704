// Event log: one line of key=value pairs per event, written through log4cxx.
//
// Values are quoted when they contain spaces, quotes or control characters, so
// a value from outside cannot start a new line or forge a pair.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangovalve {

enum class Severity
{
  Debug,
  Info,
  Warn,
  Error,
};

using Fields = std::vector<std::pair<std::string_view, std::string>>;

enum class LogTarget
{
  StandardError,
  StandardOutput,
};

// Sends log lines of the process to aTarget, at aLevel and above. aLevel is
// "debug", "info", "warn" or "error". Call once at start.
auto StartEventLog(const std::string& aLevel,
                   LogTarget aTarget = LogTarget::StandardError) -> void;

// Changes the lowest level that is written; an unknown name means info.
auto SetLogLevel(const std::string& aLevel) -> void;

// Formats the line "event=NAME key=value ...".
auto FormatEvent(std::string_view aEvent, const Fields& aFields) -> std::string;

// Writes one event.
auto LogEvent(Severity aSeverity,
              std::string_view aEvent,
              const Fields& aFields = {}) -> void;

} // namespace mangovalve
