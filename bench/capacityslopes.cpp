#include "capacityslopes.h"

#include "capacitystates.h"
#include <algorithm>
#include <chrono>
#include <cstdio>

namespace nutmegwell::bench {

namespace {

double slopeOf(const std::vector<Point> &Points) {
  double MeanSize = 0;
  double MeanValue = 0;
  for (const Point &Each : Points) {
    MeanSize += Each.Size_ / static_cast<double>(Points.size());
    MeanValue += Each.Value_ / static_cast<double>(Points.size());
  }
  double Shared = 0;
  double Spread = 0;
  for (const Point &Each : Points) {
    Shared += (Each.Size_ - MeanSize) * (Each.Value_ - MeanValue);
    Spread += (Each.Size_ - MeanSize) * (Each.Size_ - MeanSize);
  }
  return Spread > 0 ? Shared / Spread : 0;
}

} // namespace

void printSlope(const std::string &Name, const std::string &Unit,
                const std::vector<Point> &Points) {
  std::string Sizes;
  std::string Values;
  char Text[48];
  for (const Point &Each : Points) {
    const char *Separator = Sizes.empty() ? "" : ",";
    std::snprintf(Text, sizeof(Text), "%s%.0f", Separator, Each.Size_);
    Sizes += Text;
    std::snprintf(Text, sizeof(Text), "%s%.6g", Separator, Each.Value_);
    Values += Text;
  }
  std::printf("%s value=%.5g unit=%s sizes=%s at=%s seed=%llu\n", Name.c_str(),
              slopeOf(Points), Unit.c_str(), Sizes.c_str(), Values.c_str(),
              static_cast<unsigned long long>(CapacitySeed));
  std::fflush(stdout);
}

double medianMicros(int Repetitions, const std::function<void()> &Prepare,
                    const std::function<void()> &Run) {
  std::vector<double> Micros;
  for (int I = 0; I < Repetitions; ++I) {
    Prepare();
    auto Before = std::chrono::steady_clock::now();
    Run();
    std::chrono::duration<double, std::micro> Spent =
        std::chrono::steady_clock::now() - Before;
    Micros.push_back(Spent.count());
  }
  auto Middle = Micros.begin() + static_cast<std::ptrdiff_t>(Micros.size() / 2);
  std::nth_element(Micros.begin(), Middle, Micros.end());
  return *Middle;
}

} // namespace nutmegwell::bench
