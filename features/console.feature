Feature: Every configuration change needs the signatures of both owners

  Scenario: A change proposed in a form is applied by all processes
    Given a running deployment with an operator
    When the operator sets the share of "guides" to 2 in a form
    And the draft is proposed
    And owner "linh" signs the proposal
    Then applying the proposal is refused because both owners must sign
    When owner "bao" signs the proposal
    And the proposal is applied
    Then every process has the new share within 12 seconds

  Scenario: Only the first of two concurrent changes is applied
    Given a running deployment with an operator
    When two signed changes with the same base document are applied
    Then the first succeeds and the second is a conflict that lists its changes

  Scenario: Requests without valid tokens are refused and markup is escaped
    Given a running deployment with an operator
    Then a request with an invalid token gets only the sign-in page
    And a form posted without its form token is refused
    And a name that contains markup is shown escaped

  Scenario: The error of an invalid field is shown beside it
    Given a running deployment with an operator
    When the operator sets the share of "guides" to "much" in a form
    Then the page shows "Expected a number" beside the field

  Scenario Outline: Invalid signatures are rejected
    Given a running deployment with an operator
    When a signature is made with <flaw>
    Then it is rejected with "<reason>"

    Examples:
      | flaw                      | reason           |
      | another document's digest | isn't for digest |
      | a non-owner's key         | isn't an owner   |
      | an expired key            | expired at       |
