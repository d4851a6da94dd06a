# fl_tests(NAME LIBRARY): the test binary NAMETests of tests/NAME/*Test.cpp.
function(fl_tests name library)
  file(GLOB tests CONFIGURE_DEPENDS tests/${name}/*Test.cpp)
  if(tests)
    add_executable(${name}Tests ${tests} tests/TestMain.cpp)
    target_include_directories(${name}Tests PRIVATE tests)
    target_link_libraries(${name}Tests PRIVATE ${library} doctest::doctest
      rapidcheck)
    add_test(NAME ${name} COMMAND ${name}Tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300
      # A fixed seed makes the property tests reproducible.
      ENVIRONMENT "FESCUELINE_BIN=${CMAKE_BINARY_DIR};RC_PARAMS=seed=20261204")
  endif()
endfunction()

# fl_library(NAME DEPS ...): the library src/NAME, its test binary
# NAMETests (tests/NAME/*Test.cpp) and its benchmark NAMEBench
# (benchmarks/NAME/*.cpp). Folders without sources are skipped.
function(fl_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/${name}/*.cpp)
  if(sources)
    add_library(fl${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(fl${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(fl${name} ${scope} ${CMAKE_SOURCE_DIR}/src)
  # RESTinio runs on standalone Asio; msgpack-cxx must not pull in Boost.
  target_compile_definitions(fl${name} ${scope}
    RESTINIO_USE_STANDALONE_ASIO ASIO_STANDALONE MSGPACK_NO_BOOST
    BOOST_LOG_DYN_LINK)
  foreach(dep ${ARG_DEPS})
    if(TARGET fl${dep})
      target_link_libraries(fl${name} ${scope} fl${dep})
    else()
      target_link_libraries(fl${name} ${scope} ${dep})
    endif()
  endforeach()

  fl_tests(${name} fl${name})

  file(GLOB benches CONFIGURE_DEPENDS benchmarks/${name}/*.cpp)
  if(benches)
    add_executable(${name}Bench ${benches})
    target_link_libraries(${name}Bench PRIVATE fl${name} benchmark::benchmark
      benchmark::benchmark_main)
  endif()
endfunction()

# fl_programs(FOLDER): one program for each .cpp directly in the folder, named
# after its file; programs in tools/ are called fescueline-<name>.
function(fl_programs folder)
  file(GLOB mains CONFIGURE_DEPENDS ${folder}/*.cpp)
  foreach(main ${mains})
    get_filename_component(name ${main} NAME_WE)
    string(REGEX REPLACE "([a-z])([A-Z])" "\\1-\\2" binary ${name})
    string(TOLOWER ${binary} binary)
    if(NOT folder STREQUAL apps)
      set(binary fescueline-${binary})
    endif()
    file(GLOB parts CONFIGURE_DEPENDS ${folder}/${name}/*.cpp)
    add_executable(${binary} ${main} ${parts})
    target_include_directories(${binary} PRIVATE ${folder} ${folder}/${name})
    target_link_libraries(${binary} PRIVATE flFleet)
  endforeach()
endfunction()

# fl_models(): each models/NAME.pml is checked by spin as test model-NAME;
# models/NAME-broken-*.pml must violate a property.
function(fl_models)
  file(GLOB models CONFIGURE_DEPENDS models/*.pml)
  foreach(model ${models})
    get_filename_component(name ${model} NAME_WE)
    add_test(NAME model-${name}
      COMMAND ${CMAKE_SOURCE_DIR}/scripts/check-model.sh ${model}
        ${CMAKE_BINARY_DIR}/models/${name})
    set_tests_properties(model-${name} PROPERTIES TIMEOUT 600)
  endforeach()
endfunction()

# fl_process_tests(): tests of the guarantees with real processes on loopback.
# Each test case is a separate ctest and runs serially, as the cases measure
# under load.
function(fl_process_tests)
  file(GLOB tests CONFIGURE_DEPENDS tests/Process/*.cpp)
  add_executable(ProcessTests ${tests} tests/TestMain.cpp)
  target_include_directories(ProcessTests PRIVATE tests)
  target_link_libraries(ProcessTests PRIVATE flFleet flPlatformStandIn
    doctest::doctest)
  add_dependencies(ProcessTests fescueline fescueline-table-stand-in
    fescueline-target-stand-in)
  foreach(test ${tests})
    file(STRINGS ${test} cases REGEX "^TEST_CASE\\(\"process-")
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${test})
    foreach(case ${cases})
      string(REGEX REPLACE "^TEST_CASE\\(\"([a-z0-9-]+)\".*" "\\1" name
        "${case}")
      add_test(NAME ${name} COMMAND ProcessTests -tc=${name})
      set_tests_properties(${name} PROPERTIES TIMEOUT 120 RUN_SERIAL ON
        ENVIRONMENT
        "FESCUELINE_BIN=${CMAKE_BINARY_DIR};FESCUELINE_DOCS=${CMAKE_SOURCE_DIR}/docs")
    endforeach()
  endforeach()
endfunction()

# fl_example(NAME LIBRARY): examples/NAME.cpp, linked with that library only and
# run as test example-<name>.
function(fl_example name library)
  string(REGEX REPLACE "([a-z])([A-Z])" "\\1-\\2" binary example-${name})
  string(TOLOWER ${binary} binary)
  add_executable(${binary} examples/${name}.cpp)
  target_link_libraries(${binary} PRIVATE fl${library})
  add_test(NAME ${binary} COMMAND ${binary})
  set_tests_properties(${binary} PROPERTIES TIMEOUT 30)
endfunction()
