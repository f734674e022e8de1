# Modules, lowest layer first. A module may depend only on modules listed before it (checked by
# scripts/check_layers).
set(POMELOLOFT_MODULES base http net config log mesh routing sync traffic proxy sidecar cli)

set(module_sources)
foreach(module ${POMELOLOFT_MODULES})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/pomeloloft/${module}/*.cpp)
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(APPEND module_sources ${sources})
endforeach()

# Adapter to the users' platform: a layer above `sidecar` and below `cli`.
file(GLOB platform_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cpp)
list(FILTER platform_sources EXCLUDE REGEX "_test\\.cpp$")
list(APPEND module_sources ${platform_sources})

add_library(pomeloloft_wire STATIC
  src/pomeloloft/sync/generated/distribution.pb.cc
  src/pomeloloft/sync/generated/distribution.grpc.pb.cc)
target_include_directories(pomeloloft_wire SYSTEM PUBLIC src/pomeloloft/sync/generated)
target_link_libraries(pomeloloft_wire PUBLIC gRPC::grpc++ protobuf::libprotobuf)

add_library(pomeloloft_core STATIC ${module_sources})
target_include_directories(pomeloloft_core PUBLIC include ${CMAKE_SOURCE_DIR})
target_link_libraries(pomeloloft_core
  PUBLIC Poco::Foundation Poco::Net prometheus-cpp::core easyloggingpp Threads::Threads
  PRIVATE pomeloloft_warnings pomeloloft_wire yaml-cpp ${XXHASH_LIBRARY})
target_precompile_headers(pomeloloft_core PRIVATE
  <algorithm> <chrono> <functional> <map> <memory> <mutex> <optional> <string> <unordered_map> <vector>
  <boost/outcome/basic_result.hpp> <nlohmann/json.hpp>)

add_executable(pomeloloft src/pomeloloft/main.cpp)
target_link_libraries(pomeloloft PRIVATE pomeloloft_core pomeloloft_warnings)
