Feature: VMs that start, die and sleep never let a stream go on at another build

  # Played without processes on a virtual clock. Guards against a VM that takes one
  # build for certain which it must not, whatever the order of events.

  Scenario: builds change and the log fails
    When the schedules 0 to 159 are played: builds change and the log fails
    Then no stream goes on at a build that did not begin it
    And at most 0 do before the VM could be told of a new build
    And at least 100 take-ups are allowed for each ground but a new stream

  Scenario: with one build all take-ups go on
    When the schedules 0 to 59 are played: one build, the log serves
    Then no stream goes on at a build that did not begin it
    And no take-up is refused, and 0.99 of them go on

  Scenario: datagrams are lost as well
    When the schedules 400 to 439 are played: datagrams are lost as well
    Then no stream goes on at a build that did not begin it

  # Guards against VMs that leave the writer seconds to record a build: it may not have read
  # of it, or be dead and still count as live. After the loss of all VMs the records and
  # the list of servers then show one build.
  Scenario: a build leaves, and all VMs die, before it is recorded
    When "0.05 add v2, 0.6 drop v2, 1.1 kill all, 1.2 start all" is played 30 times with a log that serves
    Then no stream goes on at a build that did not begin it

  # Guards against records that make one build certain alone: with neither the list of
  # servers nor that of VMs read, there is no VM to ask.
  Scenario: a VM that has read the records of builds alone
    When "0 fail builds writes 60, 0.1 add v2, 2.2 drop v1, 4 fail servers+members reads 12, 4.1 kill all, 4.2 start all" is played 10 times with lists that are unread
    Then no stream goes on at a build that did not begin it

  # Guards against a list of servers that counts as current after a suspension: the
  # take-up comes before the datagrams that tell of the new build.
  Scenario: a VM that is resumed answers before it reads the datagrams that waited
    When "0 suspend 1 2.3, 0.05 add v2" is played 60 times with any order after a suspension
    Then no stream goes on at a build that did not begin it

  # One VM alone reads of the new build, and dies 53 ms later, before it tells the others.
  # Guards against the other VM, suspended for 1.7 s, that counts its list as current.
  Scenario: the VM that first reads of a build dies before it tells the others
    When the schedules 215 to 215 are played: builds change and the log fails
    Then no stream goes on at a build that did not begin it
