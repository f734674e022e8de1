find_package(Threads REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net)
find_package(Protobuf REQUIRED)
find_package(gRPC REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(prometheus-cpp REQUIRED COMPONENTS core)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_path(EASYLOGGINGPP_INCLUDE_DIR easylogging++.cc REQUIRED)

# easylogging++ is distributed as one header and one source file that the user compiles.
add_library(easyloggingpp STATIC ${EASYLOGGINGPP_INCLUDE_DIR}/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
