// Measures the slopes that docs/CAPACITY.md works with. Prints one line a
// figure: NAME value=V unit=U sizes=A,B,C at=X,Y,Z seed=S

#include "capacityslopes.h"
#include <cstdio>
#include <cstring>

int main(int Argc, char **Argv) {
  using namespace nutmegwell::bench;
  Extent Sizes;
  Sizes.Quick_ = Argc == 2 && std::strcmp(Argv[1], "--quick") == 0;
  if (Argc > 1 && !Sizes.Quick_) {
    std::fprintf(stderr, "usage: nutmegwell-capacity [--quick]\n");
    return 2;
  }
  if (Sizes.Quick_)
    Sizes.Repetitions_ = 3;
  printMemorySlopes(Sizes);
  printWireSlopes();
  printRecordSlopes();
  printMessageTimes(Sizes);
  printControlTimes(Sizes);
  printFoldTimes(Sizes);
  printAppends();
  return 0;
}
