# Language level, warnings and output folders shared by every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -DNDEBUG")
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers
  -Wno-maybe-uninitialized -Wno-restrict -Werror)

set(DOTTERELSHED_SANITIZE "" CACHE STRING
  "Sanitizers to build with: address,undefined or thread")
if(DOTTERELSHED_SANITIZE)
  add_compile_options(-fsanitize=${DOTTERELSHED_SANITIZE} -Wno-error)
  add_link_options(-fsanitize=${DOTTERELSHED_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()
