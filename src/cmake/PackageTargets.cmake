# dotterelshed_library(NAME DEPENDS ...): builds all sources below src/lib<NAME>
# into a static library dotterelshed_<NAME>; files named *_unittest.cc or
# test_*.cc become one Catch2 program registered with CTest.
# dotterelshed_program(NAME DEPENDS ...): builds src/<NAME>/*.cc; its unit tests
# are built with all of them but main.cc.

set(DOTTERELSHED_PACKAGES base http account quota routing ledger quarantine history gateway
  config core platform peer backend host)

function(dotterelshed_link target)
  foreach(dep IN LISTS ARGN)
    if(dep IN_LIST DOTTERELSHED_PACKAGES)
      target_link_libraries(${target} PUBLIC dotterelshed_${dep})
    elseif(dep MATCHES "_dep$")
      target_link_libraries(${target} PUBLIC PkgConfig::${dep})
    else()
      target_link_libraries(${target} PUBLIC ${dep})
    endif()
  endforeach()
endfunction()

function(dotterelshed_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(folder ${PROJECT_SOURCE_DIR}/src/lib${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${folder}/*.cc ${folder}/*.c++)
  set(tests ${sources})
  set(test_files "(_unittest|/test_[a-z_]+)\\.cc$")
  list(FILTER sources EXCLUDE REGEX ${test_files})
  list(FILTER tests INCLUDE REGEX ${test_files})

  add_library(dotterelshed_${name} STATIC ${sources})
  target_include_directories(dotterelshed_${name} PUBLIC
    ${PROJECT_SOURCE_DIR}/src/include ${PROJECT_SOURCE_DIR}/src/lib${name})
  dotterelshed_link(dotterelshed_${name} ${ARG_DEPENDS} Threads::Threads)

  if(tests AND NOT DOTTERELSHED_ENTRY_ONLY)
    add_executable(${name}_unittests ${tests}
      ${PROJECT_SOURCE_DIR}/src/cmake/catch_main.cc)
    target_link_libraries(${name}_unittests PRIVATE dotterelshed_${name})
    target_compile_definitions(${name}_unittests PRIVATE
      DOTTERELSHED_CHARTS_DIR="${PROJECT_SOURCE_DIR}/src/charts"
      DOTTERELSHED_EXAMPLES_DIR="${PROJECT_SOURCE_DIR}/examples")
    add_test(NAME unit_${name} COMMAND ${name}_unittests)
  endif()
endfunction()

function(dotterelshed_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  set(folder ${PROJECT_SOURCE_DIR}/src/${name})
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
  if(NOT sources)
    return()
  endif()
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_unittest\\.cc$")
  list(FILTER tests INCLUDE REGEX "_unittest\\.cc$")
  add_executable(${name} ${sources})
  dotterelshed_link(${name} ${ARG_DEPENDS} Boost::program_options)
  if(tests AND NOT DOTTERELSHED_ENTRY_ONLY)
    list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
    add_executable(${name}_unittests ${sources} ${tests}
      ${PROJECT_SOURCE_DIR}/src/cmake/catch_main.cc)
    dotterelshed_link(${name}_unittests ${ARG_DEPENDS} Boost::program_options)
    target_compile_definitions(${name}_unittests PRIVATE
      DOTTERELSHED_EXAMPLES_DIR="${PROJECT_SOURCE_DIR}/examples")
    add_test(NAME unit_${name} COMMAND ${name}_unittests)
  endif()
endfunction()
