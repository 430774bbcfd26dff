#pragma once

#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::bench {

/// One measured value at one size.
struct Point {
  double Size_ = 0;
  double Value_ = 0;
};

/// Sizes and repetitions of one run of the program.
struct Extent {
  bool Quick_ = false;
  int Repetitions_ = 25;
};

/// Prints "NAME value=V unit=U sizes=A,B,C at=X,Y,Z seed=S": the slope of a
/// least-squares line, in \p Unit for each unit of size, and each value.
void printSlope(const std::string &Name, const std::string &Unit,
                const std::vector<Point> &Points);

/// Returns the median time in microseconds of \p Run. Each repetition first
/// calls \p Prepare, whose time does not count.
double medianMicros(int Repetitions, const std::function<void()> &Prepare,
                    const std::function<void()> &Run);

void printMemorySlopes(const Extent &Sizes);
void printWireSlopes();
void printRecordSlopes();
void printMessageTimes(const Extent &Sizes);
void printControlTimes(const Extent &Sizes);
void printFoldTimes(const Extent &Sizes);
/// Prints appends and waits of the appender in simulated time.
void printAppends();

} // namespace nutmegwell::bench
