set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release CACHE STRING "" FORCE)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_library(pomeloloft_warnings INTERFACE)
target_compile_options(pomeloloft_warnings INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers
  # GCC 12 reports false positives of these warnings for inlined std::string operations.
  -Wno-array-bounds -Wno-restrict -Wno-mismatched-new-delete -Wno-stringop-overread -Wno-stringop-overflow)
