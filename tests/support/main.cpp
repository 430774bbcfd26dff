#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <cstdlib>
#include <iostream>

/// Called by the thread sanitizer. cxxtools reads the wake bytes of all event
/// loops into one static byte, so two HTTP servers in one process race there,
/// inside the library.
extern "C" const char *
__tsan_default_suppressions(); // NOLINT(readability-identifier-naming)

extern "C" const char *
__tsan_default_suppressions() { // NOLINT(readability-identifier-naming)
  return "race:cxxtools::SelectorImpl::waitUntil\n";
}

/// Runs every registered CppUnit suite, or the test path given as argument.
int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // RapidCheck prints its seed; a run with another one sets RC_PARAMS.
  setenv("RC_PARAMS", "seed=20261204", 0);
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Collector);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller, Argc > 1 ? Argv[1] : "");
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  return Collector.wasSuccessful() ? 0 : 1;
}
