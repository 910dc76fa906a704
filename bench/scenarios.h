// Benchmark scenarios. Each runs in virtual time from fixed seeds and reports
// figures; a figure with a bound decides the exit code.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mangovalve::bench {

// How a figure is compared with its bound.
enum class Bound
{
  AtMost,
  AtLeast,
  Below,
};

// Collects the figures of one scenario and prints one line for each.
class Report
{
public:
  explicit Report(std::string aScenario)
    : mScenario(std::move(aScenario))
  {
  }

  // A figure without a bound, e.g. that of a baseline.
  auto Figure(const std::string& aMeasure, double aValue) -> void;
  // A figure that must hold; a broken bound fails the run.
  auto Check(const std::string& aMeasure,
             double aValue,
             Bound aKind,
             double aBound) -> void;
  auto Ok() const -> bool { return mOk; }

private:
  auto Print(const std::string& aMeasure,
             double aValue,
             const std::string& aBound,
             bool aOk) -> void;

  std::string mScenario;
  bool mOk = true;
};

using Scenario = std::function<auto(Report& aReport)->void>;

// Scenarios by name. Files register themselves with a static Registration.
auto Scenarios() -> std::map<std::string, Scenario>&;

struct Registration
{
  Registration(const std::string& aName, Scenario aScenario)
  {
    Scenarios()[aName] = std::move(aScenario);
  }
};

} // namespace mangovalve::bench
