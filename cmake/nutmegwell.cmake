# Functions that add libraries and tests. USES must list every library whose
# headers are included; tools/check-arrows.sh compares it with docs/design.md.

add_library(nutmegwell-options INTERFACE)
target_compile_options(nutmegwell-options INTERFACE -Wall -Wextra)
if(NUTMEGWELL_WERROR)
  target_compile_options(nutmegwell-options INTERFACE -Werror)
endif()
if(NUTMEGWELL_SANITIZE)
  target_compile_options(nutmegwell-options INTERFACE
    -fsanitize=${NUTMEGWELL_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(nutmegwell-options INTERFACE
    -fsanitize=${NUTMEGWELL_SANITIZE})
endif()

# nutmegwell_library(NAME SOURCES a.cpp ... USES core ... LINKS external ...)
# Adds the static library nutmegwell-NAME. USES lists libraries of this project,
# LINKS external ones.
function(nutmegwell_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;USES;LINKS" ${ARGN})
  add_library(nutmegwell-${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(nutmegwell-${NAME} PUBLIC include)
  target_link_libraries(nutmegwell-${NAME} PUBLIC nutmegwell-options
    Threads::Threads)
  foreach(Used ${ARG_USES})
    target_link_libraries(nutmegwell-${NAME} PUBLIC nutmegwell-${Used})
  endforeach()
  target_link_libraries(nutmegwell-${NAME} PUBLIC ${ARG_LINKS})
endfunction()

# nutmegwell_test(NAME SOURCES a.cpp ... USES core ... LINKS external ...
#                 LABELS unit ... [TIMEOUT seconds] [CASES Suite::case ...])
# Adds a CppUnit executable and registers it with CTest. TIMEOUT is in seconds,
# 120 by default. With CASES, each of these cases is a test NAME.case of its own;
# they have to be all cases of the executable.
function(nutmegwell_test NAME)
  if(NOT NUTMEGWELL_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;USES;LINKS;LABELS;CASES"
    ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  if(NUTMEGWELL_SANITIZE)
    # Sanitizers slow the tests down by a factor of about ten.
    math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 10")
  endif()
  add_executable(${NAME} ${ARG_SOURCES}
    ${CMAKE_SOURCE_DIR}/tests/support/main.cpp)
  target_link_libraries(${NAME} PRIVATE nutmegwell-options Threads::Threads
    cppunit)
  foreach(Used ${ARG_USES})
    target_link_libraries(${NAME} PRIVATE nutmegwell-${Used})
  endforeach()
  target_link_libraries(${NAME} PRIVATE ${ARG_LINKS})
  set(Tests ${NAME})
  if(ARG_CASES)
    list(TRANSFORM ARG_CASES REPLACE "^.*::" "${NAME}." OUTPUT_VARIABLE Tests)
    foreach(Test Case IN ZIP_LISTS Tests ARG_CASES)
      add_test(NAME ${Test} COMMAND ${NAME} ${Case})
    endforeach()
  else()
    add_test(NAME ${NAME} COMMAND ${NAME})
  endif()
  set_tests_properties(${Tests} PROPERTIES LABELS "${ARG_LABELS}"
    TIMEOUT ${ARG_TIMEOUT})
endfunction()
